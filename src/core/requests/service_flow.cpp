#include "core/requests/service_flow.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    constexpr int maxAttempts = 3;
    // Largest response body that is stored for replay to a later call with the same idempotency key.
    constexpr std::size_t maxStoredBodyBytes = std::size_t { 16 } * 1024;
    // Polling interval for an outcome that another request is expected to record.
    constexpr Milliseconds outcomeCheckInterval { 200 };

    // Whether a call may be executed more than once. That holds for the safe methods GET, HEAD and OPTIONS, and for calls
    // that match an entry of the service's settings, which consists of a method and a path prefix. PUT and DELETE must be
    // listed there, although RFC 9110, section 9.2.2, defines them as idempotent.
    bool isRetryable(const Service& service, const CallerRequest& request)
    {
        if (request.method == "GET" || request.method == "HEAD" || request.method == "OPTIONS")
            return true;
        auto call = request.method + " " + request.path;
        return std::any_of(service.idempotentCalls.begin(), service.idempotentCalls.end(), [&](const auto& it) {
            return absl::StartsWith(call, it);
        });
    }

}

bool ServiceFlow::needsClaim(const RequestState& state) const
{
    return !state.isRetryable && !state.request.idempotencyKey.empty();
}

std::string ServiceFlow::callKey(const RequestState& state) const
{
    const auto& request = state.request;
    return absl::StrCat("call/", state.team.value, "/", request.target, "/", needsClaim(state) ? request.idempotencyKey : request.id.value);
}

void ServiceFlow::accepted(RequestState& state, TimePoint now, Outbox& out)
{
    const auto& configuration = m_core.configuration();
    const auto& team = configuration.teams.at(state.team);
    const auto& target = state.request.target;
    auto service = configuration.services.find(ServiceId { target });
    if (service == configuration.services.end())
        return m_core.requests.sendError(state, ErrorKind::UnknownTarget, "no service is named '" + target + "'", now, out);
    if (std::find(team.services.begin(), team.services.end(), target) == team.services.end())
        return m_core.requests.sendError(state, ErrorKind::NotAllowed, "team '" + team.id.value + "' may not use service '" + target + "'", now, out);
    state.isRetryable = isRetryable(service->second, state.request);
    if (needsClaim(state) && !m_core.mutations.skipClaim)
        return claim(state, now, out);
    queue(state, now, out);
}

void ServiceFlow::claim(RequestState& state, TimePoint now, Outbox& out)
{
    state.phase = Phase::Claiming;
    state.claimStartedAt = now;
    LedgerRecord record { callKey(state), now, Claim { state.request.bodyDigest, m_core.membership.self(), state.request.id } };
    m_core.requests.awaitRecord(state, m_core.ledger.append(std::move(record), false, now, out));
}

void ServiceFlow::claimRecorded(RequestState& state, const AppendResult& result, TimePoint now, Outbox& out)
{
    state.ticket.reset();
    if (!result.ec) {
        state.claimed = true;
        return queue(state, now, out);
    }
    if (result.existing && kindOf(result.ec) == ErrorKind::CallInFlight)
        return handleExistingEntry(state, *result.existing, now, out);
    auto message = kindOf(result.ec) == ErrorKind::IdempotencyKeyReused ? "the Idempotency-Key was already used with a different body" : "the call could not be claimed";
    m_core.requests.sendError(state, kindOf(result.ec), message, now, out);
}

bool ServiceFlow::ownerMayStillFinish(const Claim& claim) const
{
    const auto& self = m_core.membership.self();
    if (claim.owner == self)
        return m_core.requests.find(claim.request) != nullptr;
    const auto& members = m_core.membership.members();
    auto it = members.find(claim.owner.instance);
    return it != members.end() && it->second.incarnation == claim.owner;
}

void ServiceFlow::handleExistingEntry(RequestState& state, const LedgerRecord& existing, TimePoint now, Outbox& out)
{
    state.execution.mayHaveRunElsewhere();
    if (const auto* outcome = std::get_if<Outcome>(&existing.entry))
        return replay(state, *outcome, now, out);
    if (!ownerMayStillFinish(std::get<Claim>(existing.entry)))
        return m_core.requests.sendError(state, ErrorKind::OutcomeUnknown, "an earlier call with this key was sent and its outcome is not known", now, out);
    state.phase = Phase::AwaitingOutcome;
    state.nextOutcomeCheck = now + outcomeCheckInterval;
}

void ServiceFlow::checkOutcome(RequestState& state, TimePoint now, Outbox& out)
{
    state.nextOutcomeCheck.reset();
    claim(state, now, out);
}

void ServiceFlow::replay(RequestState& state, const Outcome& outcome, TimePoint now, Outbox& out)
{
    if (outcome.status == 0)
        return m_core.requests.sendError(state, ErrorKind::OutcomeUnknown, "an earlier call with this key was sent and its outcome is not known", now, out);
    CallerResponseHead head { .status = outcome.status, .contentType = outcome.contentType, .ran = Executed::Yes };
    head.cost = outcome.bill ? outcome.bill->cost : 0;
    m_core.requests.sendResponse(state, std::move(head), outcome.bodyStored ? outcome.body : std::string(), now, out);
}

void ServiceFlow::queue(RequestState& state, TimePoint now, Outbox& out)
{
    ServiceId service { state.request.target };
    UpstreamRequirements need { .service = service, .tried = &state.tried };
    m_dispatcher.enqueue(state, poolOf(service), need, now, out);
}

std::optional<UpstreamRequirements> ServiceFlow::beforeAttempt(RequestState& state, TimePoint now, Outbox& out)
{
    const auto& configuration = m_core.configuration();
    auto team = configuration.teams.find(state.team);
    const auto& target = state.request.target;
    bool allowed = team != configuration.teams.end() && configuration.services.contains(ServiceId { target })
        && std::find(team->second.services.begin(), team->second.services.end(), target) != team->second.services.end();
    if (allowed)
        return UpstreamRequirements { .service = ServiceId { target } };
    rejectWaiting(state, ErrorKind::NotAllowed, "the team may no longer use this service", now, out);
    return std::nullopt;
}

void ServiceFlow::fillAttempt(const RequestState& state, SendAttempt& attempt) const
{
    attempt.method = state.request.method;
    attempt.path = state.request.path;
}

void ServiceFlow::attemptEnded(RequestState& state, AttemptFinished finished, TimePoint now, Outbox& out)
{
    state.result = std::move(finished);
    if (state.result.end == AttemptEnd::Completed)
        return completed(state, now, out);
    failed(state, now, out);
}

void ServiceFlow::completed(RequestState& state, TimePoint now, Outbox& out)
{
    const auto& result = state.result;
    auto service = m_core.configuration().services.find(ServiceId { state.request.target });
    state.bill.team = state.team;
    bool succeeded = result.status < 400;
    if (service != m_core.configuration().services.end() && succeeded)
        state.bill.cost = service->second.costPerCall;
    // If there is neither a charge nor a claim, there is nothing to record. Calls such as status checks must not wait for
    // the store.
    if (!needsClaim(state) && state.bill.cost == 0)
        return sendOutcome(state, now, out);
    bool storeBody = result.body.size() <= maxStoredBodyBytes;
    state.phase = Phase::Recording;
    LedgerRecord record { callKey(state), now, Outcome { result.status, result.contentType, storeBody ? result.body : std::string(), storeBody, state.bill } };
    if (!needsClaim(state))
        record.entry = state.bill;
    if (m_core.mutations.billTwice) {
        auto copy = record;
        copy.key += "/again";
        m_core.ledger.append(copy, true, now, out);
    }
    m_core.requests.awaitRecord(state, m_core.ledger.append(std::move(record), true, now, out));
}

void ServiceFlow::failed(RequestState& state, TimePoint now, Outbox& out)
{
    auto end = state.result.end;
    bool notRun = end == AttemptEnd::NotSent || end == AttemptEnd::RefusedNotRun;
    bool wasQueued = state.phase == Phase::Queued;
    bool mayRetry = state.attempts < maxAttempts && now < state.deadline && !wasQueued;
    if (mayRetry && (notRun || m_core.mutations.retryNonIdempotent || (state.isRetryable && m_core.retryBudget.take())))
        return queue(state, now, out);
    if (notRun && state.execution.executed() != Executed::Unknown)
        return rejectWaiting(state, end == AttemptEnd::RefusedNotRun ? ErrorKind::Overloaded : ErrorKind::NoHealthyUpstream, "no upstream of the service accepted the call", now, out);
    if (!state.isRetryable)
        recordUnknownOutcome(state, now, out);
    m_core.requests.sendError(state, state.isRetryable ? ErrorKind::UpstreamFailed : ErrorKind::OutcomeUnknown, "the call was sent but no complete response was received", now, out);
}

void ServiceFlow::recordUnknownOutcome(const RequestState& state, TimePoint now, Outbox& out)
{
    if (needsClaim(state))
        m_core.ledger.append({ callKey(state), now, Outcome {} }, true, now, out);
}

void ServiceFlow::releaseClaim(const RequestState& state, TimePoint now, Outbox& out)
{
    m_core.ledger.append({ callKey(state), now, Release { state.request.id } }, false, now, out);
}

void ServiceFlow::rejectWaiting(RequestState& state, ErrorKind kind, const std::string& message, TimePoint now, Outbox& out)
{
    // Releases the claim so that it does not block a retry by the caller.
    if (state.claimed)
        releaseClaim(state, now, out);
    m_core.requests.sendError(state, kind, message, now, out);
}

void ServiceFlow::recorded(RequestState& state, const AppendResult& result, TimePoint now, Outbox& out)
{
    if (state.phase == Phase::Claiming)
        return claimRecorded(state, result, now, out);
    if (state.phase == Phase::Recording)
        sendOutcome(state, now, out);
}

void ServiceFlow::sendOutcome(RequestState& state, TimePoint now, Outbox& out)
{
    CallerResponseHead head { .status = state.result.status, .contentType = state.result.contentType, .cost = state.bill.cost, .ran = Executed::Yes };
    m_core.requests.sendResponse(state, std::move(head), std::move(state.result.body), now, out);
}

void ServiceFlow::callerDisconnected(RequestState& state, TimePoint now, Outbox& out)
{
    state.callerDisconnected = true;
    // A call that is being claimed or was sent continues until its outcome is recorded, so that a retry by the caller
    // gets the outcome.
    if (state.phase == Phase::Queued) {
        m_dispatcher.removeFromQueue(state);
        return rejectWaiting(state, ErrorKind::DeadlineUnreachable, "the caller disconnected", now, out);
    }
    if (state.phase == Phase::AwaitingOutcome)
        m_core.requests.discard(state);
}

void ServiceFlow::deadlineExpired(RequestState& state, TimePoint now, Outbox& out)
{
    switch (state.phase) {
    case Phase::Claiming: {
        bool mayStillTakeEffect = state.ticket && !m_core.ledger.cancelAppend(*state.ticket);
        if (mayStillTakeEffect)
            releaseClaim(state, now, out);
        return m_core.requests.sendError(state, ErrorKind::StoreUnavailable, "the call could not be claimed in time, so this request was not sent", now, out);
    }
    case Phase::AwaitingOutcome:
        return m_core.requests.sendError(state, ErrorKind::CallInFlight, "an earlier call with this key is still running", now, out);
    case Phase::Queued:
        m_dispatcher.removeFromQueue(state);
        return rejectWaiting(state, ErrorKind::DeadlineUnreachable, "no upstream slot became free before the deadline", now, out);
    case Phase::Running:
        m_dispatcher.expireAttempt(state, now, out);
        state.result.end = AttemptEnd::TimedOut;
        state.attempts = maxAttempts;
        return failed(state, now, out);
    default:
        return m_core.requests.sendError(state, ErrorKind::StoreUnavailable, "the outcome could not be written before the deadline", now, out);
    }
}

}
