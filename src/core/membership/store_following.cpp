#include "core/membership/store_following.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    constexpr double minRetryDelay = 400;
    constexpr double maxRetryDelay = 1600;
    constexpr std::size_t maxDoublings = 8;

}

bool StoreFollowing::shouldFollow(const Peers& peers, TimePoint now)
{
    bool isStanding = peers.isHub || peers.preceding < peers.followers;
    bool areNeeded = !peers.areReplied || peers.precedingReaching < peers.followers;
    if (isStanding || !areNeeded) {
        m_neededSince.reset();
        return isStanding;
    }
    m_neededSince = m_neededSince.value_or(now);
    auto periods = static_cast<std::size_t>((now - *m_neededSince) / substitutePeriod);
    return peers.preceding < peers.followers + substitutesPerPeriod * (1 + periods);
}

Milliseconds StoreFollowing::retryDelay(std::size_t failures, double random)
{
    auto longest = std::min(maxRetryDelay, minRetryDelay * static_cast<double>(std::size_t { 1 } << std::min(failures, maxDoublings)));
    return Milliseconds(static_cast<std::int64_t>(longest * (1 + random) / 2));
}

}
