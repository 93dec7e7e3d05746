#include "core/requests/dispatcher.h"

#include <cmath>

namespace skylarkhitch {

namespace {

    // Work of a service call, in tokens, for fair queuing among teams.
    constexpr double serviceWork = 64;

    // Work per second in one slot, assumed until an attempt completes. Set high, so that no request is rejected because of
    // an underestimate.
    constexpr double initialThroughput = 150;
    constexpr double throughputSmoothing = 0.05;
    // Factor on the expected wait, since more urgent requests may still arrive.
    constexpr double waitMargin = 1.1;
    // Factor on the expected duration: a request starts only with this much time left before its deadline, because it would
    // otherwise occupy a slot without finishing in time.
    constexpr double serviceTimeMargin = 1.15;
    // Factor on the expected duration after which an attempt counts as stalled.
    constexpr double stallFactor = 3;
    // The transport times out an attempt this long after the deadline of its request, so that the core handles the deadline
    // first.
    constexpr Milliseconds timeoutSlack { 500 };
    // Growth factor over the announced demand that triggers an early heartbeat.
    constexpr std::int64_t demandGrowth = 3;
    // Time for which the slot quota of a pool is cached.
    constexpr Milliseconds slotQuotaInterval { 50 };

    PoolId poolOf(const RequestState& state)
    {
        return state.request.kind == CallKind::Chat ? skylarkhitch::poolOf(state.version)
                                                    : skylarkhitch::poolOf(ServiceId { state.request.target });
    }

}

double expectedWork(const CallerRequest& request)
{
    return request.kind == CallKind::Chat ? static_cast<double>(request.maxTokens) : serviceWork;
}

PoolId poolOf(const VersionId& version) { return { "version/" + version.value }; }

PoolId poolOf(const ServiceId& service) { return { "service/" + service.value }; }

double Dispatcher::serviceSeconds(const PoolId& id, double work) const
{
    auto it = m_pools.find(id);
    if (it != m_pools.end() && it->second.throughput > 0)
        return work / it->second.throughput;
    return work / initialThroughput;
}

void Dispatcher::updateThroughput(const RequestState& state, TimePoint now)
{
    auto seconds = std::chrono::duration<double>(now - state.attemptStartedAt).count();
    if (seconds <= 0)
        return;
    auto& throughput = m_pools[poolOf(state)].throughput;
    double measured = expectedWork(state.request) / seconds;
    throughput = throughput == 0 ? measured : throughput + throughputSmoothing * (measured - throughput);
}

std::vector<PoolDemand> Dispatcher::updateAnnouncedDemands()
{
    std::map<std::tuple<PoolId, std::int64_t, TeamId>, std::int64_t> counts;
    for (const auto& id : m_core.requests.ids()) {
        const auto& state = *m_core.requests.find(id);
        if (state.phase == Phase::Queued || state.phase == Phase::Running)
            ++counts[{ poolOf(state), state.rankOrder, state.team }];
    }
    m_announcedDemands.clear();
    m_announcedRequests = 0;
    for (const auto& [key, n] : counts) {
        m_announcedDemands.push_back({ std::get<0>(key).value, std::get<1>(key), std::get<2>(key), n });
        m_announcedRequests += n;
    }
    m_slotQuotasStale = true;
    return m_announcedDemands;
}

bool Dispatcher::demandGrew() const
{
    auto now = static_cast<std::int64_t>(m_core.requests.size());
    return now > demandGrowth * (m_announcedRequests + 1);
}

std::vector<ShareDemand> Dispatcher::demandsFor(const std::string& pool) const
{
    const auto& configuration = m_core.configuration();
    absl::flat_hash_map<std::int64_t, double> guaranteed;
    for (const auto& [id, rank] : configuration.ranks)
        guaranteed[rank.order] = rank.guaranteedShare;
    std::vector<ShareDemand> demands;
    auto add = [&](const PoolDemand& it, bool isOwn) {
        auto team = configuration.teams.find(it.team);
        if (it.pool == pool && team != configuration.teams.end())
            demands.push_back({ isOwn, it.rankOrder, guaranteed[it.rankOrder], it.team, team->second.share, static_cast<double>(it.requests) });
    };
    // Uses the announced demand instead of the current one, because the other instances compute their quotas from the same
    // numbers. Until a sudden increase is announced, it gets at most an even share of the unclaimed capacity.
    for (const auto& it : m_announcedDemands)
        add(it, true);
    for (const auto& [id, member] : m_core.membership.members()) {
        for (const auto& it : member.heartbeat.demands)
            add(it, false);
    }
    return demands;
}

double Dispatcher::slotQuota(const PoolId& id, const UpstreamRequirements& need, TimePoint now)
{
    auto& pool = m_pools[id];
    if (std::exchange(m_slotQuotasStale, false)) {
        for (auto& [other, it] : m_pools)
            it.slotQuotaUpdatedAt = {};
    }
    if (now >= pool.slotQuotaUpdatedAt + slotQuotaInterval) {
        double capacity = m_core.upstreams.usableSlots(need, now);
        pool.slots = shareOfCapacity(capacity, demandsFor(id.value), m_core.membership.writers().size());
        pool.slotQuotaUpdatedAt = now;
    }
    return std::max(1.0, std::round(pool.slots));
}

Microseconds Dispatcher::predictedWait(const WaitingRequest& waiting, const UpstreamRequirements& need, TimePoint now)
{
    double slots = slotQuota(waiting.pool, need, now);
    auto running = static_cast<double>(m_pools[waiting.pool].running);
    if (running < slots && !m_core.admission.hasWaiting(waiting.pool))
        return Microseconds::zero();
    double rate = slots / serviceSeconds(waiting.pool, 1);
    double seconds = m_core.admission.expectedWait(waiting, rate, now) * waitMargin;
    return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(seconds));
}

void Dispatcher::enqueue(RequestState& state, const PoolId& pool, const UpstreamRequirements& need, TimePoint now, Outbox& out)
{
    double work = expectedWork(state.request);
    const auto& configuration = m_core.configuration();
    const auto& rank = configuration.ranks.at(state.rank);
    const auto& team = configuration.teams.at(state.team);
    WaitingRequest waiting { state.request.id, pool, state.rank, rank.order, rank.guaranteedShare, state.team, team.share, work, now, state.deadline };
    auto service = std::chrono::duration<double>(serviceSeconds(pool, work) * serviceTimeMargin);
    waiting.latestStart = state.deadline - std::chrono::duration_cast<Microseconds>(service);
    if (now + predictedWait(waiting, need, now) > waiting.latestStart)
        return state.flow->rejectWaiting(state, ErrorKind::DeadlineUnreachable, "the expected wait in the queue exceeds the request's deadline", now, out);
    state.phase = Phase::Queued;
    m_core.admission.enqueue(waiting);
    shedExcessRequests(now, out);
}

void Dispatcher::shedExcessRequests(TimePoint now, Outbox& out)
{
    auto maxQueued = static_cast<std::size_t>(m_core.configuration().limits.maxQueuedRequests);
    while (m_core.admission.size() > maxQueued) {
        auto evicted = m_core.admission.takeLowestPriority();
        if (!evicted)
            return;
        if (auto* state = m_core.requests.find(evicted->request))
            state->flow->rejectWaiting(*state, ErrorKind::Overloaded, "the queue is full and this request has the lowest priority by rank and team share", now, out);
    }
}

void Dispatcher::run(TimePoint now, Outbox& out)
{
    for (const auto& pool : m_core.admission.poolsWithWaiting())
        runPool(pool, now, out);
}

void Dispatcher::runPool(const PoolId& pool, TimePoint now, Outbox& out)
{
    while (auto waiting = m_core.admission.next(pool, now)) {
        if (now > waiting->latestStart) {
            if (auto* state = m_core.requests.find(waiting->request))
                state->flow->rejectWaiting(*state, ErrorKind::DeadlineUnreachable, "no upstream slot became free in time to meet the deadline", now, out);
            continue;
        }
        if (start(*waiting, now, out) != Start::NoSlot)
            continue;
        m_core.admission.requeue(*waiting);
        return;
    }
}

Dispatcher::Start Dispatcher::start(const WaitingRequest& waiting, TimePoint now, Outbox& out)
{
    auto* state = m_core.requests.find(waiting.request);
    if (!state)
        return Start::Handled;
    auto need = state->flow->beforeAttempt(*state, now, out);
    if (!need)
        return Start::Handled;
    need->tried = &state->tried;
    double slots = slotQuota(waiting.pool, *need, now);
    if (static_cast<double>(m_pools[waiting.pool].running) >= slots && m_core.upstreams.anyUsable(*need, now))
        return Start::NoSlot;
    need->ownShare = std::min(1.0, slots / std::max(1.0, m_core.upstreams.usableSlots(*need, now)));
    auto upstream = m_core.upstreams.choose(*need, now);
    if (!upstream && m_core.upstreams.anyUsable(*need, now))
        return Start::NoSlot;
    if (!upstream) {
        AttemptFinished none { .end = AttemptEnd::NotSent };
        state->flow->attemptEnded(*state, std::move(none), now, out);
        return Start::Handled;
    }
    m_core.admission.started(waiting);
    send(*state, *upstream, now, out);
    return Start::Started;
}

void Dispatcher::send(RequestState& state, const UpstreamId& upstream, TimePoint now, Outbox& out)
{
    const auto& settings = m_core.configuration().upstreams.at(upstream);
    const auto& limits = m_core.configuration().limits;
    state.phase = Phase::Running;
    state.upstream = upstream;
    state.attemptStartedAt = now;
    state.tried.insert(upstream);
    if (!state.startedAt)
        state.startedAt = now;
    SendAttempt attempt { .attempt = m_core.requests.startAttempt(state), .request = state.request.id, .kind = state.request.kind, .upstream = upstream, .address = settings.address, .body = state.request.body };
    attempt.contentType = state.request.contentType;
    attempt.priority = state.rankOrder;
    attempt.isRetryable = state.isRetryable;
    attempt.timeout = std::min(limits.attemptTimeout, toMilliseconds(state.deadline - now) + timeoutSlack);
    state.flow->fillAttempt(state, attempt);
    m_core.upstreams.attemptStarted(upstream);
    ++m_pools[poolOf(state)].running;
    out.push_back(std::move(attempt));
}

void Dispatcher::attemptEnded(RequestState& state, const AttemptFinished& finished, TimePoint now, Outbox& out)
{
    m_core.requests.endAttempt(state);
    state.execution.attemptEnded(finished.end);
    --m_pools[poolOf(state)].running;
    m_core.upstreams.attemptEnded(state.upstream, finished.end, now, out);
    m_core.metrics.attemptEnded(state.upstream, state.version, finished.end);
    if (finished.leaving)
        m_core.upstreams.loadReported({ .upstream = state.upstream, .leaving = true }, now, out);
    if (!state.version.empty())
        m_core.evidence.attemptEnded(state.version, state.upstream, finished.end, now, out);
    if (finished.end == AttemptEnd::Completed) {
        m_core.retryBudget.succeeded(m_core.configuration().limits.retryShare);
        updateThroughput(state, now);
    }
    if (finished.end == AttemptEnd::Cut && state.request.kind == CallKind::Chat)
        m_core.crashGuard.recordCrash(state.request.bodyDigest, state.upstream, now);
}

void Dispatcher::cancelAttempt(RequestState& state, Outbox& out)
{
    if (!state.attempt)
        return;
    out.push_back(CancelAttempt { *state.attempt });
    m_core.requests.endAttempt(state);
    state.execution.attemptEnded(AttemptEnd::TimedOut);
    // Frees the slot. A cancelled attempt does not count for or against its upstream.
    m_core.upstreams.attemptCancelled(state.upstream);
    --m_pools[poolOf(state)].running;
}

void Dispatcher::expireAttempt(RequestState& state, TimePoint now, Outbox& out)
{
    auto elapsed = std::chrono::duration<double>(now - state.attemptStartedAt).count();
    bool stalled = elapsed > stallFactor * serviceSeconds(poolOf(state), expectedWork(state.request));
    if (!stalled || !state.attempt)
        return cancelAttempt(state, out);
    out.push_back(CancelAttempt { *state.attempt });
    attemptEnded(state, { .attempt = *state.attempt, .end = AttemptEnd::TimedOut, .status = 0 }, now, out);
}

void Dispatcher::removeFromQueue(RequestState& state)
{
    m_core.admission.remove(poolOf(state), state.request.id);
}

}
