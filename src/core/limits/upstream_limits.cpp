#include "core/limits/upstream_limits.h"

#include "core/hashing.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    // A peer's statement replaces a known one only if it is newer by more than the transmission of its age may explain.
    constexpr Milliseconds ageTolerance { 100 };

    Milliseconds ageOf(TimePoint at, TimePoint now) { return std::max(Milliseconds(0), toMilliseconds(now - at)); }

    double inSeconds(Microseconds time) { return std::chrono::duration<double>(time).count(); }

    std::string shareKey(const std::string& process, std::size_t share) { return absl::StrCat(process, "#", share); }

    std::size_t shareCount(double requestsPerSecond)
    {
        auto wanted = std::min(requestsPerSecond / UpstreamLimits::minShare, static_cast<double>(UpstreamLimits::maxShares));
        return std::max<std::size_t>(1, static_cast<std::size_t>(wanted));
    }

    bool isNews(std::optional<double> before, std::optional<double> after)
    {
        if (before.has_value() != after.has_value())
            return true;
        return after && std::abs(*after - *before) > UpstreamLimits::newsworthyChange * std::max(*before, *after);
    }

}

void UpstreamLimits::assignShares(TimePoint now)
{
    endCold(now);
    absl::erase_if(m_limits, [&](const auto& it) { return it.second.statedAt < now - statementRetention && !isCold(it.second, now); });
    for (auto& [process, limit] : m_limits)
        assign(process, limit, now);
}

bool UpstreamLimits::isCurrent(const Owner& owner, TimePoint now) { return !owner.instance.empty() && now - owner.at < ownershipLifetime; }

const UpstreamLimits::Owner& UpstreamLimits::strongerOwner(const std::string& shareKey, const Owner& known, const Owner& other, TimePoint now)
{
    if (!isCurrent(other, now))
        return known;
    if (!isCurrent(known, now))
        return other;
    if (known.instance == other.instance)
        return other.at > known.at + ageTolerance ? other : known;
    return hashOf(shareKey, other.instance.value) > hashOf(shareKey, known.instance.value) ? other : known;
}

void UpstreamLimits::assign(const std::string& process, Limit& limit, TimePoint now)
{
    bool isLive = std::find(m_instances.begin(), m_instances.end(), m_self) != m_instances.end();
    bool mayClaim = !isCold(limit, now) || now >= limit.coldSince + coldClaimDelay;
    for (std::size_t n = 0; n < limit.shares.size(); ++n) {
        auto& it = limit.shares[n];
        bool isOwn = it.instance == m_self && isCurrent(it, now);
        bool isFree = !isCurrent(it, now) && mayClaim && isLive && rendezvousOrder(shareKey(process, n), m_instances).front() == m_self;
        if (isFree)
            m_isUrgent = true;
        if ((isOwn && isLive) || isFree)
            it = { m_self, now };
        else if (it.instance == m_self)
            it = {};
    }
    updateOwnRate(limit, now);
}

double UpstreamLimits::savedAt(const Limit& limit, TimePoint now)
{
    auto max = std::max(1.0, limit.ownRate * inSeconds(maxSavedTime));
    return std::min(max, limit.saved + limit.ownRate * std::max(0.0, inSeconds(now - limit.refilledAt)));
}

void UpstreamLimits::updateOwnRate(Limit& limit, TimePoint now) const
{
    auto own = std::count_if(limit.shares.begin(), limit.shares.end(), [&](const Owner& it) { return it.instance == m_self; });
    double rate = limit.shares.empty() ? 0 : std::max(limit.requestsPerSecond.value_or(0), minRate) * static_cast<double>(own) / static_cast<double>(limit.shares.size());
    if (rate == limit.ownRate)
        return;
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
    known->second.stated = requestsPerSecond;
    known->second.statedAt = statedAt;
    update(process, known->second, now, fromPeer);
}

void UpstreamLimits::update(const std::string& process, Limit& limit, TimePoint now, bool fromPeer)
{
    auto requestsPerSecond = limit.stated;
    if (isCold(limit, now))
        requestsPerSecond = std::min(limit.stated.value_or(limit.coldRate), limit.coldRate);
    auto before = std::exchange(limit.requestsPerSecond, requestsPerSecond);
    limit.shares.resize(requestsPerSecond ? shareCount(*requestsPerSecond) : 0);
    // The owners that are known come with a peer's news.
    if (!before && !fromPeer)
        assign(process, limit, now);
    updateOwnRate(limit, now);
    if (!isNews(before, requestsPerSecond))
        return;
    auto kind = !requestsPerSecond ? UpstreamLimitEvent::Kind::Ended : (before ? UpstreamLimitEvent::Kind::Changed : UpstreamLimitEvent::Kind::Learned);
    auto knownSince = std::max(limit.statedAt, limit.coldSince);
    m_events.push_back({ kind, process, requestsPerSecond.value_or(0), limit.ownRate, toMilliseconds(now - knownSince), fromPeer });
    // Peers learn of mere changes by the next regular heartbeat.
    m_isUrgent = m_isUrgent || kind != UpstreamLimitEvent::Kind::Changed;
}

void UpstreamLimits::recordResponse(const std::string& process, std::optional<double> requestsPerSecond, TimePoint now)
{
    if (requestsPerSecond || !m_limits.empty())
        state(process, requestsPerSecond, now, now, false);
}

void UpstreamLimits::recordCold(const std::string& process, double requestsPerSecond, TimePoint until, TimePoint now)
{
    if (until > now && requestsPerSecond > 0)
        setCold(process, requestsPerSecond, until, now, false);
}

void UpstreamLimits::setCold(const std::string& process, double requestsPerSecond, TimePoint until, TimePoint now, bool fromPeer)
{
    auto& limit = m_limits[process];
    if (!isCold(limit, now))
        limit.coldSince = now;
    limit.coldUntil = std::max(limit.coldUntil, until);
    limit.coldRate = requestsPerSecond;
    update(process, limit, now, fromPeer);
}

void UpstreamLimits::learnCold(const std::string& process, const ColdLimit& cold, TimePoint now)
{
    auto known = m_limits.find(process);
    auto knownUntil = known != m_limits.end() ? std::max(known->second.coldUntil, now) : now;
    auto until = now + std::min(cold.timeLeft, maxColdTime);
    // Each hop adds the time of its transmission. Without a tolerance, instances would prolong the time for each other.
    if (cold.requestsPerSecond > 0 && until > knownUntil + coldTolerance)
        setCold(process, cold.requestsPerSecond, until, now, true);
}

void UpstreamLimits::endCold(TimePoint now)
{
    for (auto& [process, it] : m_limits) {
        if (it.coldUntil == TimePoint {} || isCold(it, now))
            continue;
        it.coldUntil = {};
        // Every instance knows the end, so it is no news to peers.
        bool wasUrgent = m_isUrgent;
        update(process, it, now, false);
        m_isUrgent = wasUrgent;
    }
}

bool UpstreamLimits::maySend(const std::string& process, std::int64_t rank, TimePoint now) const
{
    auto it = m_limits.find(process);
    if (it == m_limits.end() || !it->second.requestsPerSecond)
        return true;
    // A process that was paused may have lost its shares without having noticed.
    const auto& shares = it->second.shares;
    bool ownsShare = std::any_of(shares.begin(), shares.end(), [&](const Owner& owner) { return owner.instance == m_self && isCurrent(owner, now); });
    return ownsShare && it->second.ownRate > 0 && savedAt(it->second, now) >= (rank == 0 ? 0 : 1);
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

Milliseconds UpstreamLimits::timeToNext(const std::string& process, TimePoint now) const
{
    auto it = m_limits.find(process);
    if (it == m_limits.end() || !it->second.requestsPerSecond)
        return Milliseconds(0);
    const auto& limit = it->second;
    auto missing = limit.ownRate > 0 ? std::max(0.0, 1 - savedAt(limit, now)) : 1.0;
    auto rate = limit.ownRate > 0 ? limit.ownRate : std::max(minRate, *limit.requestsPerSecond);
    return Milliseconds(static_cast<std::int64_t>(std::ceil(1000 * missing / rate)));
}

double UpstreamLimits::ownPart(const std::string& process) const
{
    auto it = m_limits.find(process);
    if (it == m_limits.end() || !it->second.requestsPerSecond)
        return 1;
    return it->second.ownRate / std::max(minRate, *it->second.requestsPerSecond);
}

bool UpstreamLimits::isLimited(const std::string& process) const
{
    auto it = m_limits.find(process);
    return it != m_limits.end() && it->second.requestsPerSecond;
}

void UpstreamLimits::learn(const std::vector<StatedLimit>& statements, TimePoint now)
{
    for (const auto& it : statements) {
        if (it.cold)
            learnCold(it.process, *it.cold, now);
        if (it.age > statementRetention && !it.cold)
            continue;
        auto statedAt = now - it.age;
        auto known = m_limits.find(it.process);
        bool isNewer = known == m_limits.end() || statedAt > known->second.statedAt + ageTolerance;
        // While a process is cold, the limit in force is not what it states.
        if (isNewer && !it.cold)
            state(it.process, it.requestsPerSecond, statedAt, now, true);
        known = m_limits.find(it.process);
        if (known != m_limits.end())
            learnOwners(it, known->second, now);
    }
}

void UpstreamLimits::learnOwners(const StatedLimit& news, Limit& limit, TimePoint now)
{
    for (const auto& it : news.owners) {
        if (it.share >= limit.shares.size())
            continue;
        auto& known = limit.shares[it.share];
        known = Owner(strongerOwner(shareKey(news.process, it.share), known, { it.instance, now - it.age }, now));
    }
    assign(news.process, limit, now);
}

std::vector<StatedLimit> UpstreamLimits::news(TimePoint now) const
{
    std::vector<StatedLimit> statements;
    for (const auto& [process, it] : m_limits) {
        if (!it.requestsPerSecond && now - it.statedAt >= endedNewsTime)
            continue;
        StatedLimit statement { process, it.requestsPerSecond, ageOf(it.statedAt, now), {} };
        if (isCold(it, now))
            statement.cold = { it.coldRate, toMilliseconds(it.coldUntil - now) };
        for (std::size_t n = 0; n < it.shares.size(); ++n) {
            if (isCurrent(it.shares[n], now))
                statement.owners.push_back({ n, it.shares[n].instance, ageOf(it.shares[n].at, now) });
        }
        statements.push_back(std::move(statement));
    }
    if (statements.size() > maxSent) {
        auto end = statements.begin() + static_cast<std::ptrdiff_t>(maxSent);
        std::nth_element(statements.begin(), end, statements.end(), [](const auto& a, const auto& b) { return a.cold.has_value() != b.cold.has_value() ? a.cold.has_value() : a.age < b.age; });
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
