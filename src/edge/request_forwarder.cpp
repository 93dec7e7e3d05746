#include "edge/request_forwarder.h"

#include "adapters/log.h"
#include "core/scheduling/retry_decision.h"
#include "edge/upstream_evidence.h"
#include "edge/upstream_selection.h"
#include "platform/request_codec.h"

namespace skylarkhitch {

RequestForwarder::RequestForwarder(TrafficState& traffic, std::shared_ptr<CallerConnection> caller, ReceivedRequest received)
    : m_request(traffic, std::move(caller), std::move(received))
    , m_outcome(m_request)
    , m_hedge(m_request)
    , m_relay(m_request, m_hedge, m_outcome)
    , m_peers(m_request, m_outcome)
{
}

Awaitable<void> RequestForwarder::run()
{
    auto self = shared_from_this();
    m_hedge.setOwner(self);
    std::optional<std::string> failure;
    try {
        co_await admitAndServe();
    } catch (const std::exception& e) {
        failure = e.what();
    }
    m_hedge.silence().clear();
    m_hedge.drop();
    if (m_servedSince)
        m_request.traffic.stopAdmission().ended(m_request.admitted.route->name, *m_servedSince, m_request.admitted.deadline, m_request.isAnswered, bootNow());
    if (!failure)
        co_return;
    LogLine(LogLevel::Error, "request_failed").with("id", m_request.id()).with("error", *failure);
    co_await m_outcome.respondWithError(ErrorKind::Internal);
}

Awaitable<void> RequestForwarder::admitAndServe()
{
    auto error = admit();
    if (error == ErrorKind::NotConfigured && !m_request.traffic.isExiting(bootNow())) {
        co_await m_request.traffic.awaitConfiguration(bootNow() + m_request.allowedWait());
        if (m_request.caller->hasDisconnected()) {
            m_outcome.log("caller_left", 0);
            co_return;
        }
        error = admit();
    }
    if (error != ErrorKind::None) {
        co_await m_outcome.respondWithError(error);
        co_return;
    }
    m_request.caller->onDisconnect([this] {
        m_hedge.closeConnections();
        m_peers.close();
    });
    co_await serve();
}

ErrorKind RequestForwarder::admit()
{
    m_request.admitted = {};
    auto& request = m_request.admitted.request;
    request.method = m_request.received.method;
    request.target = m_request.received.target;
    request.body = m_request.received.body;
    platform::decodeRequest(m_request.received.fields, request);
    m_request.caller->setRequestId(request.id.value);
    m_request.view = m_request.traffic.view();
    m_request.admitted.configuration = m_request.view ? m_request.view->configuration : nullptr;
    if (auto error = admitRequest(m_request.admitted, m_request.received.receivedAt); error != ErrorKind::None)
        return error;
    m_request.events = EventStreamParser(request.lastEvent);
    m_request.parts = sharedParts(request);
    if (request.anyModel && !m_request.admitted.route->models.empty())
        m_request.model = m_request.admitted.route->models.front();
    return m_request.traffic.crashes().refuses(m_request.admitted.fingerprint) ? ErrorKind::RequestQuarantined : ErrorKind::None;
}

Awaitable<void> RequestForwarder::serve()
{
    for (;;) {
        auto now = bootNow();
        if (m_request.timeLeft() < minUsefulTime) {
            co_await m_outcome.respondWithError(ErrorKind::DeadlineExceeded);
            co_return;
        }
        if (!m_request.fitsBeforeExit(now)) {
            co_await m_outcome.respondWithError(ErrorKind::InstanceDraining);
            co_return;
        }
        if (!m_servedSince) {
            m_servedSince = now;
            m_request.traffic.stopAdmission().began(m_request.admitted.route->name, now);
        }
        if (m_request.traffic.links().isLost()) {
            if (co_await m_peers.serve())
                co_return;
            continue;
        }
        countArrival();
        if (auto error = checkParts(now); error != ErrorKind::None) {
            co_await m_outcome.respondWithError(error);
            co_return;
        }
        // Once it was sent, a refusal could not say that it has not run.
        bool isFresh = m_request.possibleRuns == 0 && !m_request.caller->hasStartedResponse();
        if (isFresh && m_request.traffic.mustYield(m_request.admitted.service->name, m_request.admitted.rank)) {
            co_await m_outcome.respondWithError(ErrorKind::Overloaded);
            co_return;
        }
        const auto* upstream = chooseUpstream(m_request, m_request.model, now);
        if (!upstream) {
            co_await m_outcome.respondWithError(m_outcome.noUpstreamError());
            co_return;
        }
        auto attempt = std::make_shared<UpstreamAttempt>();
        attempt->upstream = *upstream;
        attempt->model = m_request.model;
        attempt->prompt = m_request.chosenPrompt;
        auto result = co_await makeAttempt(attempt);
        // The upstream of a hedge may have taken the request over, or may still do so.
        while (!result.isFinal && m_hedge.isOpen() && !m_request.caller->hasDisconnected()) {
            co_await m_hedge.awaitResponse();
            if (!m_hedge.isOpen())
                break;
            m_outcome.logFailedAttempt(*m_hedge.current(), result.end, true);
            result = co_await makeAttempt(m_hedge.take());
        }
        if (m_request.caller->hasDisconnected()) {
            m_outcome.log("caller_left", 0);
            co_return;
        }
        if (result.isFinal) {
            m_request.isAnswered = result.end == AttemptEnd::Completed;
            co_return;
        }
        bool willRetry = result.retryTaken || reserveRetry(m_request, result.end, bootNow());
        m_outcome.logFailedAttempt(*m_hedge.current(), result.end, willRetry);
        if (!willRetry) {
            co_await m_outcome.respondWithError(m_outcome.errorFor(result.end));
            co_return;
        }
    }
}

void RequestForwarder::countArrival()
{
    if (std::exchange(m_isArrivalCounted, true))
        return;
    m_request.traffic.requestArrived(m_request.admitted.service->name, m_request.received.receivedAt);
    if (m_request.admitted.request.isOutputHintMalformed)
        LogLine(LogLevel::Warning, "output_hint_malformed").with("id", m_request.id()).with("team", m_request.admitted.team ? m_request.admitted.team->value : "");
}

ErrorKind RequestForwarder::checkParts(TimePoint now)
{
    using Verdict = PromptPartGuard::Verdict;
    bool mayHaveRun = m_request.possibleRuns > 0;
    // An upstream that had no room for a probe has told nothing of its parts.
    if (m_request.isProbe && !mayHaveRun)
        return ErrorKind::None;
    auto verdict = m_request.traffic.decideOnParts(m_request.parts, mayHaveRun, now);
    m_request.isProbe = verdict == Verdict::Probe;
    if (verdict == Verdict::Deferred)
        return ErrorKind::PromptPartSuspected;
    return verdict == Verdict::Refused ? ErrorKind::PromptPartQuarantined : ErrorKind::None;
}

Awaitable<AttemptResult> RequestForwarder::makeAttempt(std::shared_ptr<UpstreamAttempt> attempt)
{
    m_hedge.setCurrent(attempt);
    m_request.model = attempt->model;
    AttemptResult result { AttemptEnd::Cut, false };
    std::optional<AttemptEnd> end;
    if (attempt->response)
        m_hedge.restartSilence(*attempt);
    else
        end = co_await beginAttempt(m_request, *attempt, m_hedge.silence());
    if (end)
        result.end = *end;
    else {
        try {
            result = co_await m_relay.relay(*attempt);
        } catch (const std::exception& e) {
            // The request may have run, as after a lost connection.
            LogLine(LogLevel::Error, "attempt_error").with("id", m_request.id()).with("upstream", attempt->upstream.id.value).with("error", e.what());
        }
    }
    m_hedge.silence().clear();
    if (result.isFinal)
        m_hedge.drop();
    recordEnd(m_request, *attempt, result);
    if (result.end == AttemptEnd::Cut)
        co_await awaitCrashEvidence(m_request);
    co_return result;
}

}
