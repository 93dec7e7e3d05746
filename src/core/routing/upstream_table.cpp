#include "core/routing/upstream_table.h"

#include "core/check.h"

#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    std::string poolKey(const VersionId& version, const ServiceId& service)
    {
        return service.empty() ? "v/" + version.value : "s/" + service.value;
    }

    // Minimum, in slots, of the adaptive limit of requests in flight, and the factor of its multiplicative decrease.
    constexpr double minLimit = 1;
    constexpr double limitDecreaseFactor = 0.7;
    // An upstream is full when its total load reaches this multiple of its limit, whatever this instance's share.
    constexpr double maxLoadRatio = 1.5;

}

UpstreamTable::UpstreamTable(DomainId own, UpstreamSettings settings, std::uint64_t seed)
    : m_domain(std::move(own))
    , m_settings(settings)
    , m_random(seed)
{
}

void UpstreamTable::configure(const ConfigurationPtr& configuration)
{
    m_configuration = configuration;
    m_pools.clear();
    absl::erase_if(m_states, [&](const auto& it) { return !configuration->upstreams.contains(it.first) && it.second.ownInFlight == 0 && it.second.peersInFlight == 0; });
    for (auto& [id, state] : m_states)
        state.settings = nullptr;
    for (const auto& [id, upstream] : configuration->upstreams) {
        auto& state = m_states[id];
        state.settings = &upstream;
        if (state.limit == 0)
            state.limit = static_cast<double>(upstream.slots);
        m_pools[poolKey(upstream.version, upstream.service)].push_back(id);
    }
}

bool UpstreamTable::usable(const State& state, TimePoint now) const
{
    return state.settings && !state.leavingByReport && !state.leavingByList && state.ejectedUntil <= now;
}

double UpstreamTable::load(const State& state)
{
    auto known = state.ownInFlight + state.peersInFlight;
    // A report includes requests that heartbeats do not show yet, but not those that this instance sent after it.
    auto reported = state.reportedRunning + state.reportedWaiting + std::max<std::int64_t>(0, state.ownInFlight - state.ownInFlightAtReport);
    return static_cast<double>(std::max(known, reported));
}

bool UpstreamTable::hasFreeSlot(const State& state, double ownShare)
{
    // This instance's share is the main bound, since the shares of all instances add up to the whole. The load of the other
    // instances is known late, so the total load is only a loose bound.
    if (static_cast<double>(state.ownInFlight) >= std::ceil(state.limit * ownShare) + 1)
        return false;
    return static_cast<double>(state.ownInFlight) < state.limit && load(state) < state.limit * maxLoadRatio;
}

std::vector<UpstreamId> UpstreamTable::candidates(const UpstreamRequirements& need, TimePoint now, bool needFreeSlot) const
{
    std::vector<UpstreamId> ids;
    auto pool = m_pools.find(poolKey(need.version, need.service));
    if (pool == m_pools.end())
        return ids;
    for (const auto& id : pool->second) {
        const auto& state = m_states.at(id);
        if (!usable(state, now) || (need.tried && need.tried->contains(id)))
            continue;
        if (!needFreeSlot || hasFreeSlot(state, need.ownShare))
            ids.push_back(id);
    }
    return ids;
}

double UpstreamTable::expectedWait(const UpstreamId& id) const
{
    const auto& state = m_states.at(id);
    double wait = load(state) / std::max(1.0, static_cast<double>(state.settings->slots));
    if (state.settings->domain != m_domain)
        wait += std::chrono::duration<double>(m_settings.crossDomainPenalty).count();
    return wait;
}

UpstreamId UpstreamTable::pick(std::vector<UpstreamId>& ids)
{
    if (m_settings.policy == ChoicePolicy::RoundRobin || ids.size() == 1)
        return ids[m_nextIndex++ % ids.size()];
    std::swap(ids[0], ids[m_random() % ids.size()]);
    std::swap(ids[1], ids[1 + m_random() % (ids.size() - 1)]);
    return expectedWait(ids[1]) < expectedWait(ids[0]) ? ids[1] : ids[0];
}

std::optional<UpstreamId> UpstreamTable::choose(const UpstreamRequirements& need, TimePoint now)
{
    auto ids = candidates(need, now, true);
    if (ids.empty())
        return std::nullopt;
    return pick(ids);
}

bool UpstreamTable::anyUsable(const UpstreamRequirements& need, TimePoint now) const
{
    return !candidates(need, now, false).empty();
}

double UpstreamTable::usableSlots(const UpstreamRequirements& need, TimePoint now) const
{
    double slots = 0;
    for (const auto& id : candidates(need, now, false))
        slots += m_states.at(id).limit;
    return slots;
}

void UpstreamTable::attemptStarted(const UpstreamId& id)
{
    ++m_states[id].ownInFlight;
    m_own[id].inFlight = m_states[id].ownInFlight;
}

void UpstreamTable::eject(const UpstreamId& id, State& state, TimePoint now, Outbox& out)
{
    auto duration = std::min(m_settings.initialEjection * (1 << std::min(state.ejections, 10)), m_settings.maxEjection);
    ++state.ejections;
    state.ejectedUntil = now + duration;
    state.consecutiveFailures = 0;
    out.push_back(StateChanged { "upstream", id.value, "ejected" });
}

void UpstreamTable::attemptEnded(const UpstreamId& id, AttemptEnd end, TimePoint now, Outbox& out)
{
    auto& state = m_states[id];
    INTERNAL_CHECK(state.ownInFlight > 0) << "attempt on upstream " << id.value << " ended without having been started";
    --state.ownInFlight;
    auto& counters = m_own[id];
    counters.inFlight = state.ownInFlight;
    if (end == AttemptEnd::Completed) {
        ++counters.done;
        state.consecutiveFailures = 0;
        state.ejections = 0;
        if (state.settings)
            state.limit = std::min(state.limit + 1 / state.limit, static_cast<double>(state.settings->slots));
        return;
    }
    ++counters.failed;
    if (end == AttemptEnd::Cut)
        ++counters.crashed;
    if (end == AttemptEnd::RefusedNotRun || end == AttemptEnd::TimedOut)
        state.limit = std::max(minLimit, state.limit * limitDecreaseFactor);
    ++state.consecutiveFailures;
    // An upstream to which nothing could be sent is ejected at once.
    if (end == AttemptEnd::NotSent || state.consecutiveFailures >= m_settings.failuresToEject)
        eject(id, state, now, out);
}

void UpstreamTable::attemptCancelled(const UpstreamId& id)
{
    auto& state = m_states[id];
    INTERNAL_CHECK(state.ownInFlight > 0) << "attempt on upstream " << id.value << " was cancelled without having been started";
    --state.ownInFlight;
    m_own[id].inFlight = state.ownInFlight;
}

void UpstreamTable::setLeaving(const UpstreamId& id, State& state, bool byReport, bool byList, Outbox& out)
{
    bool wasLeaving = state.leavingByReport || state.leavingByList;
    state.leavingByReport = byReport;
    state.leavingByList = byList;
    if (wasLeaving != (byReport || byList))
        out.push_back(StateChanged { "upstream", id.value, byReport || byList ? "leaving" : "back" });
}

void UpstreamTable::loadReported(const LoadReported& report, TimePoint now, Outbox& out)
{
    auto it = m_states.find(report.upstream);
    if (it == m_states.end())
        return;
    auto& state = it->second;
    if (!report.reachable) {
        if (state.ejectedUntil <= now)
            eject(it->first, state, now, out);
        return;
    }
    state.reportedRunning = report.running;
    state.reportedWaiting = report.waiting;
    state.ownInFlightAtReport = state.ownInFlight;
    setLeaving(it->first, state, report.leaving, state.leavingByList, out);
}

void UpstreamTable::listed(const std::vector<ListedInstance>& instances, Outbox& out)
{
    absl::flat_hash_map<std::string, bool> leavingByAddress;
    for (const auto& it : instances)
        leavingByAddress[it.address] = it.leaving;
    for (auto& [id, state] : m_states) {
        if (!state.settings)
            continue;
        auto it = leavingByAddress.find(state.settings->address);
        setLeaving(id, state, state.leavingByReport, it != leavingByAddress.end() && it->second, out);
    }
}

std::vector<UpstreamId> UpstreamTable::learn(const InstanceId& from, const std::map<UpstreamId, UpstreamCounters>& upstreams)
{
    auto& last = m_peers[from];
    std::vector<UpstreamId> crashedUpstreams;
    for (const auto& [id, n] : upstreams) {
        auto known = last.find(id);
        if (known != last.end() && n.crashed > known->second.crashed)
            crashedUpstreams.push_back(id);
    }
    for (const auto& [id, n] : last)
        m_states[id].peersInFlight -= n.inFlight;
    last = upstreams;
    for (const auto& [id, n] : last)
        m_states[id].peersInFlight += n.inFlight;
    return crashedUpstreams;
}

void UpstreamTable::forget(const InstanceId& peer)
{
    learn(peer, {});
}

bool UpstreamTable::leaving(const UpstreamId& id) const
{
    auto it = m_states.find(id);
    return it != m_states.end() && (it->second.leavingByReport || it->second.leavingByList);
}

std::int64_t UpstreamTable::inFlightOn(const VersionId& version) const
{
    auto pool = m_pools.find(poolKey(version, {}));
    if (pool == m_pools.end())
        return 0;
    std::int64_t sum = 0;
    for (const auto& id : pool->second)
        sum += m_states.at(id).ownInFlight;
    return sum;
}

}
