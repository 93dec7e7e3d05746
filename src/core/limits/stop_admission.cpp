#include "core/limits/stop_admission.h"

#include <algorithm>
#include <vector>

namespace skylarkhitch {

namespace {

    Milliseconds scaled(Milliseconds time, double factor)
    {
        return Milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }

    // The time that only the tolerated part of the requests exceeds. `times` is not empty.
    Milliseconds slowTime(std::vector<Milliseconds>& times, CutCost cutCost)
    {
        auto exceeding = cutCost == CutCost::Repeatable ? times.size() / StopAdmission::slowDivisor : 0;
        auto position = times.end() - 1 - static_cast<std::ptrdiff_t>(exceeding);
        std::nth_element(times.begin(), position, times.end());
        return *position;
    }

}

void StopAdmission::began(const std::string& route, TimePoint at)
{
    m_routes[route].running.insert(at);
}

void StopAdmission::ended(const std::string& route, TimePoint beganAt, TimePoint deadline, bool isWhole, TimePoint now)
{
    auto& times = m_routes[route];
    auto it = times.running.find(beganAt);
    if (it != times.running.end())
        times.running.erase(it);
    times.ended.push_back({ now, toMilliseconds(now - beganAt), toMilliseconds(deadline - beganAt), isWhole });
    dropOld(times, now);
}

void StopAdmission::dropOld(RouteTimes& times, TimePoint now)
{
    while (!times.ended.empty() && (times.ended.front().at + memory < now || times.ended.size() > maxSamples))
        times.ended.pop_front();
}

void StopAdmission::forget(TimePoint now)
{
    for (auto it = m_routes.begin(); it != m_routes.end();) {
        dropOld(it->second, now);
        it = it->second.ended.empty() && it->second.running.empty() ? m_routes.erase(it) : std::next(it);
    }
}

std::optional<Milliseconds> StopAdmission::expectedTime(const PendingWork& work, TimePoint now) const
{
    std::vector<Milliseconds> seen, atLeast;
    auto it = m_routes.find(work.route);
    if (work.cutCost == CutCost::Forbidden)
        return it == m_routes.end() ? std::nullopt : boundOf(it->second, work, now);
    if (it != m_routes.end()) {
        for (const auto& ended : it->second.ended) {
            if (ended.at + window >= now)
                (ended.isWhole ? seen : atLeast).push_back(ended.time);
        }
        for (const auto& beganAt : it->second.running)
            atLeast.push_back(toMilliseconds(now - beganAt));
    }
    bool isKnown = seen.size() >= minSamples;
    if (!isKnown && !work.defaultTime)
        return std::nullopt;
    auto base = isKnown ? Milliseconds(0) : *work.defaultTime;
    if (!seen.empty())
        base = std::max(base, slowTime(seen, work.cutCost));
    // Of the others only those count that have lasted longer: one that ended
    // early tells nothing about the time that it would have taken.
    for (const auto& time : atLeast) {
        if (time > base)
            seen.push_back(time);
    }
    if (!seen.empty())
        base = std::max(base, slowTime(seen, work.cutCost));
    auto margin = work.cutCost == CutCost::Repeatable ? repeatableMargin : finalMargin;
    return std::max(scaled(base, margin), minTime);
}

std::optional<Milliseconds> StopAdmission::boundOf(const RouteTimes& times, const PendingWork& work, TimePoint now)
{
    auto limit = toMilliseconds(work.deadline - now);
    auto longest = minTime;
    int answers = 0;
    for (const auto& ended : times.ended) {
        if (ended.at + memory < now)
            continue;
        longest = std::max(longest, ended.time);
        if (ended.isWhole && ended.limit * limitDivisor >= limit)
            ++answers;
    }
    if (answers == 0)
        return std::nullopt;
    if (!times.running.empty())
        longest = std::max(longest, toMilliseconds(now - *times.running.begin()));
    return scaled(longest, std::max(finalMargin, exceedingDivisor / answers));
}

bool StopAdmission::fits(const PendingWork& work, TimePoint exitAt, TimePoint now) const
{
    if (work.deadline <= exitAt)
        return true;
    auto time = expectedTime(work, now);
    return time && now + *time <= exitAt;
}

}
