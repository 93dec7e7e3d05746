#include "core/dispatcher.h"

namespace skylarkhitch {

namespace {

    // Work of a service call, in tokens, for the turns among teams.
    constexpr double serviceWork = 64;

    double workOf(const CallerRequest& request)
    {
        return request.kind == CallKind::Chat ? static_cast<double>(request.maxTokens) : serviceWork;
    }

    PoolId poolOf(const RequestState& state)
    {
        return state.request.kind == CallKind::Chat ? skylarkhitch::poolOf(state.version)
                                                    : skylarkhitch::poolOf(ServiceId { state.request.target });
    }

}

PoolId poolOf(const VersionId& version) { return { "version/" + version.value }; }

PoolId poolOf(const ServiceId& service) { return { "service/" + service.value }; }

Microseconds Dispatcher::predictedWait(const WaitingRequest& waiting, const UpstreamNeed& need, TimePoint now) const
{
    double measured = m_parts.admission.rate(waiting.pool, now);
    auto instances = static_cast<double>(m_parts.membership.writers().size());
    double nominal = m_parts.upstreams.nominalRate(need, now);
    double rate = measured > 0 ? measured : nominal / instances;
    if (rate <= 0)
        return Microseconds::zero();
    auto seconds = std::chrono::duration<double>(m_parts.admission.workAhead(waiting) / rate);
    return std::chrono::duration_cast<Microseconds>(seconds);
}

void Dispatcher::enqueue(RequestState& state, const PoolId& pool, const UpstreamNeed& need, double work, TimePoint now, Outbox& out)
{
    const auto& configuration = m_parts.configuration();
    const auto& rank = configuration.ranks.at(state.rank);
    const auto& team = configuration.teams.at(state.team);
    WaitingRequest waiting { state.request.id, pool, state.rank, rank.order, rank.guaranteedShare, state.team, team.share, work, now, state.deadline };
    if (now + predictedWait(waiting, need, now) > state.deadline)
        return state.flow->giveUp(state, ErrorKind::DeadlineUnreachable, "the work waiting before this request takes longer than its deadline allows", now, out);
    state.phase = Phase::Queued;
    m_parts.admission.enqueue(waiting, now);
    makeRoom(now, out);
}

void Dispatcher::makeRoom(TimePoint now, Outbox& out)
{
    auto most = static_cast<std::size_t>(m_parts.configuration().limits.maxQueuedRequests);
    while (m_parts.admission.size() > most) {
        auto loser = m_parts.admission.takeLeastDeserving();
        if (!loser)
            return;
        if (auto* state = m_parts.requests.find(loser->request))
            state->flow->giveUp(*state, ErrorKind::Overloaded, "the queue is full and this request's rank and team had the least claim to a place", now, out);
    }
}

void Dispatcher::run(TimePoint now, Outbox& out)
{
    for (const auto& pool : m_parts.admission.busyPools())
        runPool(pool, now, out);
}

void Dispatcher::runPool(const PoolId& pool, TimePoint now, Outbox& out)
{
    while (auto waiting = m_parts.admission.next(pool, now)) {
        if (start(*waiting, now, out) != Start::NoPlace)
            continue;
        m_parts.admission.putBack(*waiting);
        return;
    }
}

Dispatcher::Start Dispatcher::start(const WaitingRequest& waiting, TimePoint now, Outbox& out)
{
    auto* state = m_parts.requests.find(waiting.request);
    if (!state)
        return Start::Answered;
    auto need = state->flow->beforeAttempt(*state, now, out);
    if (!need)
        return Start::Answered;
    need->tried = &state->tried;
    auto upstream = m_parts.upstreams.choose(*need, now);
    if (!upstream && m_parts.upstreams.anyUsable(*need, now))
        return Start::NoPlace;
    if (!upstream) {
        AttemptFinished none { .end = AttemptEnd::NotSent };
        state->flow->attemptEnded(*state, std::move(none), now, out);
        return Start::Answered;
    }
    send(*state, *upstream, now, out);
    return Start::Started;
}

void Dispatcher::send(RequestState& state, const UpstreamId& upstream, TimePoint now, Outbox& out)
{
    const auto& settings = m_parts.configuration().upstreams.at(upstream);
    const auto& limits = m_parts.configuration().limits;
    state.phase = Phase::Running;
    state.upstream = upstream;
    state.tried.insert(upstream);
    if (!state.startedAt)
        state.startedAt = now;
    SendAttempt attempt { .attempt = m_parts.requests.startAttempt(state), .request = state.request.id, .kind = state.request.kind, .upstream = upstream, .address = settings.address, .body = state.request.body };
    attempt.contentType = state.request.contentType;
    attempt.priority = state.rankOrder;
    attempt.mayRepeat = state.mayRepeat;
    attempt.timeout = std::min(limits.attemptTimeout, toMilliseconds(state.deadline - now));
    state.flow->fillAttempt(state, attempt);
    m_parts.upstreams.attemptStarted(upstream);
    out.push_back(std::move(attempt));
}

void Dispatcher::attemptEnded(RequestState& state, const AttemptFinished& finished, TimePoint now, Outbox& out)
{
    m_parts.requests.endAttempt(state);
    state.ran.attemptEnded(finished.end);
    m_parts.upstreams.attemptEnded(state.upstream, finished.end, now, out);
    m_parts.metrics.attemptEnded(state.upstream, state.version, finished.end);
    if (finished.leaving)
        m_parts.upstreams.loadReported({ .upstream = state.upstream, .leaving = true }, now, out);
    if (!state.version.empty())
        m_parts.evidence.attemptEnded(state.version, finished.end, now, out);
    if (finished.end == AttemptEnd::Completed) {
        m_parts.retries.succeeded(m_parts.configuration().limits.retryShare);
        m_parts.admission.served(poolOf(state), workOf(state.request), now);
    }
    if (finished.end == AttemptEnd::Cut && state.request.kind == CallKind::Chat)
        m_parts.crashes.fell(state.request.bodyDigest, state.upstream, now);
}

void Dispatcher::cancelAttempt(RequestState& state, Outbox& out)
{
    if (!state.attempt)
        return;
    out.push_back(CancelAttempt { *state.attempt });
    m_parts.requests.endAttempt(state);
    state.ran.attemptEnded(AttemptEnd::TimedOut);
    // The place is free again; a cancelled attempt says nothing about its upstream.
    m_parts.upstreams.attemptCancelled(state.upstream);
}

void Dispatcher::unqueue(RequestState& state)
{
    m_parts.admission.remove(poolOf(state), state.request.id);
}

}
