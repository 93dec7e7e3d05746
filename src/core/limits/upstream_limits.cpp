#include "core/limits/upstream_limits.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    // A peer's statement replaces a known one only if it is newer by more than the transmission of its age may explain.
    constexpr Milliseconds ageTolerance { 100 };

    double inSeconds(Microseconds time) { return std::chrono::duration<double>(time).count(); }

    bool isNews(std::optional<double> before, std::optional<double> after)
    {
        if (before.has_value() != after.has_value())
            return true;
        return after && std::abs(*after - *before) > UpstreamLimits::newsworthyChange * std::max(*before, *after);
    }

}

void UpstreamLimits::setInstances(std::vector<InstanceId> instances, TimePoint now)
{
    std::sort(instances.begin(), instances.end());
    if (instances == m_instances)
        return;
    m_instances = std::move(instances);
    for (auto& [process, limit] : m_limits) {
        if (limit.requestsPerSecond)
            setOwnRate(limit, ownRate(process, *limit.requestsPerSecond), now);
    }
}

double UpstreamLimits::ownRate(const std::string& process, double requestsPerSecond) const
{
    auto order = rendezvousOrder(process, m_instances);
    auto shares = std::clamp<std::size_t>(static_cast<std::size_t>(requestsPerSecond / minShare), 1, std::max<std::size_t>(1, order.size()));
    auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(shares, order.size()));
    if (std::find(order.begin(), end, m_self) == end)
        return 0;
    return std::max(requestsPerSecond, minRate) / static_cast<double>(shares);
}

double UpstreamLimits::savedAt(const Limit& limit, TimePoint now)
{
    auto max = std::max(1.0, limit.ownRate * inSeconds(maxSavedTime));
    return std::min(max, limit.saved + limit.ownRate * std::max(0.0, inSeconds(now - limit.refilledAt)));
}

void UpstreamLimits::setOwnRate(Limit& limit, double rate, TimePoint now)
{
    limit.saved = limit.ownRate > 0 ? savedAt(limit, now) : 0;
    limit.refilledAt = now;
    limit.ownRate = rate;
}

void UpstreamLimits::state(const std::string& process, std::optional<double> requestsPerSecond, TimePoint statedAt, TimePoint now, bool fromPeer)
{
    auto known = m_limits.find(process);
    if (known == m_limits.end()) {
        if (!requestsPerSecond)
            return;
        known = m_limits.try_emplace(process).first;
    }
    auto& limit = known->second;
    auto before = std::exchange(limit.requestsPerSecond, requestsPerSecond);
    limit.statedAt = statedAt;
    if (requestsPerSecond != before)
        setOwnRate(limit, requestsPerSecond ? ownRate(process, *requestsPerSecond) : 0, now);
    if (!isNews(before, requestsPerSecond))
        return;
    auto kind = !requestsPerSecond ? UpstreamLimitEvent::Kind::Ended : (before ? UpstreamLimitEvent::Kind::Changed : UpstreamLimitEvent::Kind::Learned);
    m_events.push_back({ kind, process, requestsPerSecond.value_or(0), limit.ownRate, toMilliseconds(now - statedAt), fromPeer });
    m_isUrgent = true;
}

void UpstreamLimits::recordResponse(const std::string& process, std::optional<double> requestsPerSecond, TimePoint now)
{
    if (requestsPerSecond || !m_limits.empty())
        state(process, requestsPerSecond, now, now, false);
}

bool UpstreamLimits::maySend(const std::string& process, std::int64_t rank, TimePoint now) const
{
    auto it = m_limits.find(process);
    if (it == m_limits.end() || !it->second.requestsPerSecond)
        return true;
    return it->second.ownRate > 0 && savedAt(it->second, now) >= (rank == 0 ? 0 : 1);
}

void UpstreamLimits::sent(const std::string& process, TimePoint now)
{
    auto it = m_limits.find(process);
    if (it == m_limits.end() || !it->second.requestsPerSecond)
        return;
    auto& limit = it->second;
    limit.saved = savedAt(limit, now) - 1;
    limit.refilledAt = now;
}

std::optional<Milliseconds> UpstreamLimits::timeToNext(const std::string& process, TimePoint now) const
{
    auto it = m_limits.find(process);
    if (it == m_limits.end() || !it->second.requestsPerSecond)
        return Milliseconds(0);
    const auto& limit = it->second;
    if (limit.ownRate <= 0)
        return std::nullopt;
    auto missing = std::max(0.0, 1 - savedAt(limit, now));
    return Milliseconds(static_cast<std::int64_t>(std::ceil(1000 * missing / limit.ownRate)));
}

bool UpstreamLimits::isLimited(const std::string& process) const
{
    auto it = m_limits.find(process);
    return it != m_limits.end() && it->second.requestsPerSecond;
}

void UpstreamLimits::learn(const std::vector<StatedLimit>& statements, TimePoint now)
{
    for (const auto& it : statements) {
        auto statedAt = now - it.age;
        auto known = m_limits.find(it.process);
        bool isNewer = known == m_limits.end() || statedAt > known->second.statedAt + ageTolerance;
        if (isNewer)
            state(it.process, it.requestsPerSecond, statedAt, now, true);
    }
}

std::vector<StatedLimit> UpstreamLimits::news(TimePoint now) const
{
    std::vector<StatedLimit> statements;
    for (const auto& [process, it] : m_limits) {
        if (it.requestsPerSecond || now - it.statedAt < endedNewsTime)
            statements.push_back({ process, it.requestsPerSecond, std::max(Milliseconds(0), toMilliseconds(now - it.statedAt)) });
    }
    if (statements.size() > maxSent) {
        auto end = statements.begin() + static_cast<std::ptrdiff_t>(maxSent);
        std::nth_element(statements.begin(), end, statements.end(), [](const auto& a, const auto& b) { return a.age < b.age; });
        statements.erase(end, statements.end());
    }
    return statements;
}

bool UpstreamLimits::takeUrgent() { return std::exchange(m_isUrgent, false); }

std::vector<UpstreamLimitEvent> UpstreamLimits::takeEvents() { return std::exchange(m_events, {}); }

void UpstreamLimits::keepOnly(const std::function<bool(const std::string&)>& isKnown)
{
    absl::erase_if(m_limits, [&](const auto& it) { return !isKnown(it.first); });
}

std::size_t UpstreamLimits::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_limits.begin(), m_limits.end(), [](const auto& it) { return it.second.requestsPerSecond.has_value(); }));
}

}
