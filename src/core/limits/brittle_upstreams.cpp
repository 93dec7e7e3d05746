#include "core/limits/brittle_upstreams.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    // Requests that a place takes in a second, if the longest ones are not to wait behind each other.
    constexpr double requestsPerPlace = 1;
    constexpr Milliseconds minPause { 1000 };
    constexpr Milliseconds maxPause { 10000 };

}

double brittleRequestLimit(std::int64_t slots, std::optional<double> statedLimit)
{
    auto limit = requestsPerPlace * static_cast<double>(std::max<std::int64_t>(1, slots));
    return std::min(limit, statedLimit.value_or(limit));
}

bool fitsOwnPlaces(std::int64_t ownRequests, std::int64_t slots, double ownPart)
{
    return static_cast<double>(ownRequests + 1) <= ownPart * static_cast<double>(slots);
}

Milliseconds brittlePause(double admissibleRejectionsPerSecond)
{
    constexpr double maxOwners = UpstreamLimits::maxShares;
    auto seconds = admissibleRejectionsPerSecond > 0 ? maxOwners / admissibleRejectionsPerSecond : 1000;
    return std::clamp(Milliseconds(static_cast<std::int64_t>(1000 * std::min(seconds, 1000.0))), minPause, maxPause);
}

}
