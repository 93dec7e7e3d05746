#include "edge/response_relay.h"

#include "adapters/log.h"
#include "edge/engine_evidence.h"
#include "edge/model_escalation.h"
#include "edge/upstream_evidence.h"
#include "edge/upstream_selection.h"

namespace skylarkhitch {

namespace {

    // Responses that are not event streams are buffered completely before they are relayed, so that the request can be retried
    // if a response breaks off. A longer response counts as malformed.
    constexpr std::size_t maxBufferedBytes = std::size_t { 8 } << 20;

}

Awaitable<AttemptResult> ResponseRelay::relay(UpstreamAttempt& attempt)
{
    const auto& response = *attempt.response;
    bool isStream = m_request.admitted.route->kind == RouteKind::Streaming && response.isEventStream && response.status < 300;
    if (isStream && co_await escalateModel(m_request, m_hedge, attempt))
        co_return AttemptResult { AttemptEnd::Dropped, false };
    if (isStream)
        co_return co_await relayStream(attempt);
    co_return co_await relayBuffered(attempt);
}

Awaitable<AttemptResult> ResponseRelay::relayBuffered(UpstreamAttempt& attempt)
{
    auto& traffic = m_request.traffic;
    const auto& upstream = attempt.upstream;
    auto& response = *attempt.response;
    BodyMemory::Share memory(traffic.bodyMemory());
    auto body = co_await attempt.connection->readWholeBody(maxBufferedBytes, std::nullopt, &memory);
    if (body.end != TransferEnd::Ok || attempt.isSuperseded)
        co_return AttemptResult { toAttemptEnd(body.end), false };
    m_hedge.silence().clear();
    auto now = bootNow();
    releaseConnection(m_request, attempt, response.keepAliveTimeout, now);
    bool isGood = !response.isFailure();
    if (isGood) {
        traffic.countSuccess(releaseRoute(m_request, attempt), processName(upstream), toMilliseconds(now - attempt.sentAt));
        recordUpstreamSuccess(m_request, attempt);
        traffic.recordServedParts(m_request.parts, now);
    } else {
        traffic.countFailure(releaseRoute(m_request, attempt));
        traffic.balancer().failed(upstream.id, now);
    }
    AttemptResult result { isGood ? AttemptEnd::Completed : AttemptEnd::UpstreamError, true };
    // The caller already has the head of an event stream, so this response cannot be sent.
    if (m_request.caller->hasStartedResponse())
        co_return AttemptResult { AttemptEnd::UpstreamError, false };
    bool awaitsHedge = !isGood && m_hedge.isOpen();
    bool isRetried = !isGood && !awaitsHedge && reserveRetry(m_request, AttemptEnd::UpstreamError, now);
    bool isWithheld = !response.isTrueForCaller(m_request.admitted.route->isRetryable());
    if (isWithheld)
        LogLine(LogLevel::Warning, "response_withheld").with("id", m_request.id()).with("upstream", upstream.id.value).with("status", response.status).with("cause", "may_have_run");
    if (awaitsHedge || isRetried || isWithheld) {
        if (!isWithheld)
            m_outcome.saveError(toCallerResponse(std::move(response), std::move(body.bytes)));
        co_return AttemptResult { AttemptEnd::UpstreamError, false, isRetried };
    }
    m_hedge.drop();
    auto status = response.status;
    m_outcome.recordFirstByte(now);
    m_outcome.count(isGood ? "none" : "upstream_error");
    if (co_await m_request.caller->respond(toCallerResponse(std::move(response), std::move(body.bytes))))
        m_outcome.log(isGood ? "none" : "upstream_error", status);
    co_return result;
}

Awaitable<AttemptResult> ResponseRelay::relayStream(UpstreamAttempt& attempt)
{
    auto& traffic = m_request.traffic;
    const auto& upstream = attempt.upstream;
    auto connection = attempt.connection;
    m_request.events.restart();
    auto keepAliveTimeout = attempt.response->keepAliveTimeout;
    BodyMemory::Share memory(traffic.bodyMemory());
    // If the stream resumes at another upstream, the caller already has the head of the first one.
    auto head = m_request.caller->hasStartedResponse() ? std::nullopt : std::optional(toCallerResponse(std::move(*attempt.response)));
    attempt.isContinuation = !head || m_request.admitted.request.lastEvent;
    for (;;) {
        auto piece = co_await connection->readBody();
        if (m_request.caller->hasDisconnected())
            co_return AttemptResult { AttemptEnd::Cut, true };
        if (attempt.isSuperseded)
            co_return AttemptResult { AttemptEnd::Dropped, false };
        auto events = m_request.events.feed(piece.bytes);
        if (events.isTooLong)
            co_return AttemptResult { toAttemptEnd(connection->reject("event too long")), false };
        if (!memory.set(m_request.events.bufferedBytes()))
            co_return AttemptResult { toAttemptEnd(connection->reject("too many long events")), false };
        bool isComplete = piece.isLast && !m_request.events.hasPartialEvent();
        if (events.events > 0 || isComplete) {
            m_hedge.drop();
            // A caller that reads slowly is no silence of the upstream.
            m_hedge.silence().clear();
            if (std::exchange(attempt.isSilenceRecorded, false))
                traffic.balancer().succeeded(upstream.id);
        }
        if (events.events > 0 && !attempt.firstEventSeen) {
            auto now = bootNow();
            attempt.firstEventSeen = true;
            attempt.firstEventAt = now;
            stopWaiting(m_request, attempt);
            traffic.balancer().begun(upstream.id, attempt.work);
            recordFirstEvent(m_request, attempt, now);
            traffic.countSuccess(releaseRoute(m_request, attempt), processName(upstream), toMilliseconds(now - attempt.sentAt));
            traffic.recordSessionRelease(m_request.admitted.request, upstream.release, now);
            recordUpstreamSuccess(m_request, attempt);
        } else if (events.events > 0)
            recordGap(m_request, attempt, events.events, bootNow());
        attempt.events += static_cast<std::int64_t>(events.events);
        if (isComplete)
            events.bytes += m_request.events.takeComments();
        if (head && (events.events > 0 || isComplete)) {
            m_outcome.recordFirstByte(bootNow());
            auto begun = *std::exchange(head, std::nullopt);
            co_await m_request.caller->beginBody(std::move(begun));
        }
        co_await m_request.caller->writeBody(events.bytes);
        attempt.relayedAt = bootNow();
        if (isComplete) {
            recordOutput(m_request, attempt);
            recordStreamServed(m_request, attempt, connection->endsWithConnection());
            releaseConnection(m_request, attempt, keepAliveTimeout, bootNow());
            m_outcome.count("none");
            if (co_await m_request.caller->endBody())
                m_outcome.log("none", 200);
            co_return AttemptResult { AttemptEnd::Completed, true };
        }
        if (piece.end != TransferEnd::Ok || piece.isLast)
            co_return AttemptResult { toAttemptEnd(piece.end), false };
        // Only an event ends a silence, since an upstream in trouble may send other bytes without end.
        if (events.events == 0)
            continue;
        recordOutlived(m_request, attempt, bootNow());
        m_hedge.eventReceived(attempt);
    }
}

}
