#include "core/requests/request_table.h"

#include "core/check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

std::string_view executedName(Executed ran)
{
    switch (ran) {
    case Executed::No:
        return "no";
    case Executed::Yes:
        return "yes";
    case Executed::Unknown:
        break;
    }
    return "unknown";
}

std::string errorBody(ErrorKind kind, const std::string& message, Executed ran, const RequestId& request)
{
    const auto& info = errorInfo(kind);
    nlohmann::json error = {
        { "kind", info.name },
        { "message", message },
        { "ran", executedName(ran) },
        { "request_id", request.value },
    };
    if (info.retryAfter.count() > 0)
        error["retry_after_ms"] = info.retryAfter.count();
    return nlohmann::json { { "error", error } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

RequestState& RequestTable::add(CallerRequest request, TimePoint now)
{
    auto id = request.id;
    auto state = std::make_unique<RequestState>();
    state->request = std::move(request);
    state->arrivedAt = now;
    state->deadline = now + std::chrono::hours(1);
    auto [it, isNew] = m_requests.emplace(id, std::move(state));
    INTERNAL_CHECK(isNew) << "request id " << id.value << " is already in use";
    return *it->second;
}

RequestState* RequestTable::find(const RequestId& id)
{
    auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : it->second.get();
}

RequestState* RequestTable::findByAttempt(AttemptId id)
{
    auto it = m_attempts.find(id);
    return it == m_attempts.end() ? nullptr : it->second;
}

RequestState* RequestTable::findByTicket(AppendTicket ticket)
{
    auto it = m_tickets.find(ticket);
    return it == m_tickets.end() ? nullptr : it->second;
}

AttemptId RequestTable::startAttempt(RequestState& state)
{
    AttemptId id { ++m_lastAttempt };
    state.attempt = id;
    ++state.attempts;
    state.execution.attemptSent();
    m_attempts[id] = &state;
    return id;
}

void RequestTable::endAttempt(RequestState& state)
{
    if (!state.attempt)
        return;
    m_attempts.erase(*state.attempt);
    state.attempt.reset();
}

void RequestTable::awaitRecord(RequestState& state, AppendTicket ticket)
{
    if (state.ticket)
        m_tickets.erase(*state.ticket);
    state.ticket = ticket;
    m_tickets[ticket] = &state;
}

void RequestTable::finish(RequestState& state, ErrorKind error, TimePoint now)
{
    RequestSummary summary { state.team, state.rank, error, {}, {}, now - state.arrivedAt, state.bill.cost };
    summary.queueWait = state.startedAt.value_or(now) - state.arrivedAt;
    if (state.firstTokenAt)
        summary.timeToFirstToken = *state.firstTokenAt - state.arrivedAt;
    m_metrics.requestEnded(summary);
    discard(state);
}

void RequestTable::discard(RequestState& state)
{
    endAttempt(state);
    if (state.ticket)
        m_tickets.erase(*state.ticket);
    auto id = state.request.id;
    m_requests.erase(id);
}

void RequestTable::sendResponse(RequestState& state, CallerResponseHead head, std::string body, TimePoint now, Outbox& out)
{
    if (!state.callerDisconnected)
        out.push_back(CallerResponse { state.request.id, std::move(head), std::move(body) });
    finish(state, ErrorKind::None, now);
}

void RequestTable::endStream(RequestState& state, TimePoint now, Outbox& out)
{
    INTERNAL_CHECK(state.streamStarted) << "stream of request " << state.request.id.value << " ends before it starts";
    if (!state.callerDisconnected)
        out.push_back(CallerStreamEnd { state.request.id, std::move(state.finalChunk) });
    finish(state, ErrorKind::None, now);
}

void RequestTable::sendError(RequestState& state, ErrorKind kind, const std::string& message, TimePoint now, Outbox& out)
{
    auto ran = m_falseNotRun ? Executed::No : state.execution.executed();
    auto body = errorBody(kind, message, ran, state.request.id);
    const auto& info = errorInfo(kind);
    if (state.streamStarted && !state.callerDisconnected) {
        out.push_back(CallerStreamEnd { state.request.id, std::move(body) });
    } else if (!state.callerDisconnected) {
        CallerResponseHead head { .status = info.httpStatus, .ran = ran, .retryAfter = info.retryAfter };
        out.push_back(CallerResponse { state.request.id, std::move(head), std::move(body) });
    }
    finish(state, kind, now);
}

std::vector<RequestId> RequestTable::ids() const
{
    std::vector<RequestId> ids;
    ids.reserve(m_requests.size());
    for (const auto& [id, state] : m_requests)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

}
