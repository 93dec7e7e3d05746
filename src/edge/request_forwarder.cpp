#include "edge/request_forwarder.h"

#include "adapters/log.h"
#include "platform/request_codec.h"

#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // A healthy upstream accepts a connection within a few milliseconds; one on a machine without power never answers.
    constexpr Milliseconds connectTimeout { 300 };
    // Responses that are not event streams are buffered completely before they are relayed, so that the request can be retried
    // if a response breaks off. A longer response counts as malformed.
    constexpr std::size_t maxBufferedBytes = std::size_t { 8 } << 20;
    // The body of a refusal is read only so that the connection can be reused.
    constexpr std::size_t maxRefusalBytes = std::size_t { 64 } * 1024;
    constexpr Milliseconds refusalTimeout { 200 };
    // Attempts allowed beyond the route's own limit, for upstreams that could not be reached.
    constexpr std::size_t maxUnreachableUpstreams = 6;
    // An upstream that has not answered within this multiple of the target latency may have lost the request, so another one is asked
    // to take over. The event stream factors apply to the first event and to the gap between events. A sound upstream may be silent
    // for a second or two, and another one would read the whole prompt again.
    constexpr double responseTimeoutFactor = 2.5;
    constexpr double firstEventTimeoutFactor = 1.5;
    constexpr double eventGapTimeoutFactor = 2;
    constexpr Milliseconds minStreamSilence { 2500 };
    // A caller with little time is better served by another upstream, so the least silence is at most this part (1/n) of it.
    constexpr int silenceDivisor = 2;
    // Bytes that had arrived when a silence was noticed are read within this time.
    constexpr Milliseconds unreadInputTime { 20 };
    // Peers that a request is sent to in turn while they cannot be reached.
    constexpr std::size_t maxRelays = 3;
    // With less time than this left, no other upstream could still answer.
    constexpr Milliseconds minUsefulTime { 30 };
    // Retry-After is at most this part (1/n) of the caller's remaining time, but at least minRetryAfter; callers ignore a longer
    // one. The same part limits the wait for the first configuration.
    constexpr int waitDivisor = 3;
    constexpr Milliseconds minRetryAfter { 50 };
    // Engines take an urgency from 0 to 9, of which each rank spans this many steps.
    constexpr std::int64_t urgencyPerRank = 3;
    constexpr std::int64_t lowestUrgency = 9;

    Milliseconds scaled(Milliseconds time, double factor)
    {
        return Milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }

    Milliseconds leastSilence(Milliseconds timeLeft) { return std::min(minStreamSilence, Milliseconds(timeLeft / silenceDivisor)); }

    // Time in which the losses of connections that one crash causes become known, including those that peers see.
    constexpr Milliseconds crashEvidenceTime { 40 };
    // Bytes that a process sent before its crash are read within this time after it.
    constexpr Milliseconds staleBytesTime { 200 };

    std::int64_t percent(double part) { return static_cast<std::int64_t>(100 * part); }

    const char* attemptEndName(AttemptEnd end)
    {
        constexpr const char* names[] = { "completed", "not_sent", "refused_not_run", "upstream_error", "cut", "timed_out", "dropped", "malformed" };
        return names[static_cast<int>(end)];
    }

    AttemptEnd toAttemptEnd(TransferEnd end)
    {
        if (end == TransferEnd::Malformed)
            return AttemptEnd::Malformed;
        return end == TransferEnd::TimedOut ? AttemptEnd::TimedOut : AttemptEnd::Cut;
    }

    // Reads the body of a refusal and keeps the connection if that ends soon.
    Awaitable<void> recycleRefused(ConnectionPool& connections, UpstreamEntry upstream, std::shared_ptr<UpstreamConnection> connection, std::optional<Seconds> keepAliveTimeout)
    {
        connection->setDeadline(refusalTimeout);
        auto rest = co_await connection->readWholeBody(maxRefusalBytes);
        if (rest.end == TransferEnd::Ok)
            connections.recycle(upstream, connection, keepAliveTimeout, bootNow());
        else
            connection->close();
    }

    // Shared prompt parts that a log line names at most.
    constexpr std::size_t maxLoggedParts = 8;

    std::string loggedParts(const RoutedRequest& request)
    {
        std::string text;
        for (std::size_t n = 0; n < std::min(maxLoggedParts, sharedPartCount(request)); ++n)
            absl::StrAppend(&text, n > 0 ? "," : "", request.promptParts[n].id);
        return text;
    }

    // Finds out whether a response ended because its upstream crashed: then other connections to it are lost as well.
    Awaitable<void> settleEndOfConnection(TrafficState& traffic, LostRequest request)
    {
        co_await sleepFor(traffic.loop(), crashEvidenceTime);
        if (traffic.promptParts().lostConnections(request.process))
            traffic.recordLostRequest(request, bootNow());
        else
            traffic.recordServedParts(request.parts, bootNow());
    }

    EdgeResponse toCallerResponse(UpstreamResponse response, std::string body = {})
    {
        return { response.status, std::move(response.reason), std::move(response.forwardedHeaders), std::move(body) };
    }

}

RequestForwarder::RequestForwarder(TrafficState& traffic, std::shared_ptr<CallerConnection> caller, ReceivedRequest received)
    : m_traffic(traffic)
    , m_caller(std::move(caller))
    , m_received(std::move(received))
    , m_hedgeChanged(traffic.loop())
    , m_silence(traffic.loop(), [this] { onSilence(); })
{
}

Awaitable<void> RequestForwarder::run()
{
    auto self = shared_from_this();
    std::optional<std::string> failure;
    try {
        co_await admitAndServe();
    } catch (const std::exception& e) {
        failure = e.what();
    }
    m_silence.clear();
    dropHedge();
    if (m_servedSince)
        m_traffic.stopAdmission().ended(m_admitted.route->name, *m_servedSince, m_admitted.deadline, m_isAnswered, bootNow());
    if (!failure)
        co_return;
    LogLine(LogLevel::Error, "request_failed").with("id", m_admitted.request.id.value).with("error", *failure);
    co_await respondWithError(ErrorKind::Internal);
}

Awaitable<void> RequestForwarder::admitAndServe()
{
    auto error = admit();
    if (error == ErrorKind::NotConfigured && !m_traffic.isExiting(bootNow())) {
        co_await m_traffic.awaitConfiguration(bootNow() + timeLeft() / waitDivisor);
        if (m_caller->hasDisconnected()) {
            logOutcome("caller_left", 0);
            co_return;
        }
        error = admit();
    }
    if (error != ErrorKind::None) {
        co_await respondWithError(error);
        co_return;
    }
    m_caller->onDisconnect([this] {
        for (const auto& it : { m_attempt, m_hedge }) {
            if (it && it->connection)
                it->connection->close();
        }
        if (m_relay)
            m_relay->close();
    });
    co_await serve();
}

ErrorKind RequestForwarder::admit()
{
    m_admitted = {};
    auto& request = m_admitted.request;
    request.method = m_received.method;
    request.target = m_received.target;
    request.body = m_received.body;
    platform::decodeRequest(m_received.fields, request);
    m_caller->setRequestId(request.id.value);
    m_view = m_traffic.view();
    m_admitted.configuration = m_view ? m_view->configuration : nullptr;
    if (auto error = admitRequest(m_admitted, m_received.receivedAt); error != ErrorKind::None)
        return error;
    m_events = EventStreamParser(request.lastEvent);
    m_parts = sharedParts(request);
    if (request.anyModel && !m_admitted.route->models.empty())
        m_model = m_admitted.route->models.front();
    return m_traffic.crashes().refuses(m_admitted.fingerprint) ? ErrorKind::RequestQuarantined : ErrorKind::None;
}

Awaitable<void> RequestForwarder::serve()
{
    for (;;) {
        auto now = bootNow();
        if (timeLeft() < minUsefulTime) {
            co_await respondWithError(ErrorKind::DeadlineExceeded);
            co_return;
        }
        if (!fitsBeforeExit(now)) {
            co_await respondWithError(ErrorKind::InstanceDraining);
            co_return;
        }
        if (!m_servedSince) {
            m_servedSince = now;
            m_traffic.stopAdmission().began(m_admitted.route->name, now);
        }
        if (m_traffic.links().isLost()) {
            co_await serveByWayOfPeer();
            co_return;
        }
        countArrival();
        if (!mayBeSent(now)) {
            co_await respondWithError(ErrorKind::PromptPartQuarantined);
            co_return;
        }
        const auto* upstream = chooseUpstream(now);
        if (!upstream) {
            co_await respondWithError(noUpstreamError());
            co_return;
        }
        auto attempt = std::make_shared<UpstreamAttempt>();
        attempt->upstream = *upstream;
        attempt->model = m_model;
        auto result = co_await makeAttempt(attempt);
        // The upstream of a hedge may have taken the request over, or may still do so.
        while (!result.isFinal && m_hedge && !m_caller->hasDisconnected()) {
            co_await awaitHedge();
            if (!m_hedge)
                break;
            logFailedAttempt(result, true);
            auto hedge = std::exchange(m_hedge, nullptr);
            result = co_await makeAttempt(hedge);
        }
        if (m_caller->hasDisconnected()) {
            logOutcome("caller_left", 0);
            co_return;
        }
        if (result.isFinal) {
            m_isAnswered = result.end == AttemptEnd::Completed;
            co_return;
        }
        if (result.end == AttemptEnd::Dropped)
            continue;
        bool willRetry = result.retryTaken || reserveRetry(result, bootNow());
        logFailedAttempt(result, willRetry);
        if (!willRetry) {
            co_await respondWithError(errorFor(result));
            co_return;
        }
    }
}

void RequestForwarder::logFailedAttempt(const AttemptResult& result, bool isRetried) const
{
    if (result.end == AttemptEnd::Dropped)
        return;
    LogLine(LogLevel::Info, "attempt_failed").with("id", m_admitted.request.id.value).with("upstream", m_attempt->upstream.id.value).with("end", attemptEndName(result.end)).with("workload_before", m_attempt->workBefore).with("attempts_left", m_admitted.route->maxAttempts - m_possibleRuns).with("ms_left", timeLeft().count()).with("retried", isRetried ? "yes" : "no");
}

bool RequestForwarder::fitsBeforeExit(TimePoint now) const
{
    // A response that has begun would be broken off at once if it did not go on elsewhere.
    if (m_caller->hasStartedResponse())
        return !m_traffic.isExiting(now);
    const auto& route = *m_admitted.route;
    PendingWork work { route.name, route.isRetryable() ? CutCost::Repeatable : CutCost::Final, m_admitted.deadline };
    if (route.kind != RouteKind::Idempotent && m_traffic.isLateInStop(m_received.receivedAt))
        work.cutCost = CutCost::Forbidden;
    // A call that takes longer would be sent again elsewhere.
    if (route.kind == RouteKind::Idempotent)
        work.defaultTime = scaled(route.targetLatency, responseTimeoutFactor);
    return m_traffic.fitsBeforeExit(work, now);
}

Awaitable<void> RequestForwarder::serveByWayOfPeer()
{
    // A request that came from a peer does not go to another one, so that none goes round.
    while (!m_admitted.request.isRelayed && m_triedPeers.size() < maxRelays && timeLeft() >= minUsefulTime && fitsBeforeExit(bootNow())) {
        auto peer = m_traffic.chooseRelay(m_triedPeers);
        if (!peer)
            break;
        m_triedPeers.insert(peer->id);
        LogLine(LogLevel::Info, "request_relayed").with("id", m_admitted.request.id.value).with("peer", peer->id.value).with("cause", "links_lost").with("ms_left", timeLeft().count()).with("relays", static_cast<std::int64_t>(m_triedPeers.size()));
        m_relay.emplace(m_traffic, m_caller, m_received, m_events);
        // The rest of a stream comes from the model of its beginning; otherwise the peer chooses.
        auto model = m_caller->hasStartedResponse() ? m_model : std::nullopt;
        RelayTerms terms { .timeLeft = timeLeft(), .lastEvent = m_events.last(), .model = model, .mayHaveRun = m_execution.executed() != Executed::No };
        auto end = co_await m_relay->sendTo(*peer, terms);
        m_firstByteAt = m_relay->firstByteAt();
        if (m_caller->hasDisconnected() || end == RequestRelay::End::Answered) {
            m_isAnswered = !m_caller->hasDisconnected();
            logOutcome(m_caller->hasDisconnected() ? "caller_left" : m_relay->status() < 500 ? "none"
                                                                                             : "upstream_error",
                m_relay->status());
            co_return;
        }
        bool mayAskAnother = end == RequestRelay::End::NotSent || (end == RequestRelay::End::Refused && m_relay->status() == errorInfo(ErrorKind::NoHealthyUpstream).httpStatus);
        if (mayAskAnother)
            continue;
        if (end != RequestRelay::End::Refused) {
            m_execution.attemptSent();
            m_execution.attemptEnded(AttemptEnd::Cut);
        }
        auto error = end == RequestRelay::End::TimedOut ? ErrorKind::DeadlineExceeded : ErrorKind::UpstreamFailed;
        co_await respondWithError(m_traffic.isExiting(bootNow()) ? ErrorKind::InstanceDraining : error);
        co_return;
    }
    co_await respondWithError(timeLeft() < minUsefulTime ? ErrorKind::DeadlineExceeded : ErrorKind::NoHealthyUpstream);
}

void RequestForwarder::countArrival()
{
    if (!std::exchange(m_isArrivalCounted, true))
        m_traffic.requestArrived(m_admitted.service->name, m_received.receivedAt);
}

bool RequestForwarder::mayBeSent(TimePoint now)
{
    auto verdict = m_traffic.decideOnParts(m_parts, now);
    m_isProbe = verdict == PromptPartGuard::Verdict::Probe;
    return verdict != PromptPartGuard::Verdict::Refused;
}

const UpstreamEntry* RequestForwarder::chooseUpstream(TimePoint now)
{
    // Uses the current view, not the one at admission: an upstream may have left in the meantime.
    auto eligible = m_traffic.findEligibleUpstreams(m_admitted.service->name, m_admitted.request, now);
    m_limitedFor.reset();
    m_pausedFor.reset();
    if (!eligible.service)
        return nullptr;
    m_pausedFor = m_traffic.removePaused(eligible.allowed, now);
    auto allowed = eligible.allowed;
    m_traffic.removeLimited(eligible.allowed, m_admitted.rank, now);
    if (eligible.allowed.size() < allowed.size())
        m_traffic.metrics().limitedChoice(!eligible.allowed.empty());
    if (eligible.allowed.empty() && !allowed.empty())
        m_limitedFor = m_traffic.timeToUnlimited(allowed, now);
    return m_traffic.balancer().choose({ &m_admitted.request, eligible.service, eligible.allowed, &m_triedUpstreams, m_traffic.settings().domain, m_isProbe || m_traffic.promptParts().isSuspected(m_parts) }, now);
}

Awaitable<RequestForwarder::AttemptResult> RequestForwarder::makeAttempt(std::shared_ptr<UpstreamAttempt> attempt)
{
    m_attempt = attempt;
    m_model = attempt->model;
    m_isSilenceDeferred = false;
    AttemptResult result { AttemptEnd::Cut, false };
    std::optional<AttemptEnd> end;
    if (attempt->response)
        m_silence.set(silenceLimit(*attempt));
    else
        end = co_await beginContained(*attempt);
    if (end)
        result.end = *end;
    else {
        try {
            result = co_await relayResponse(*attempt);
        } catch (const std::exception& e) {
            // The request may have run, as after a lost connection.
            LogLine(LogLevel::Error, "attempt_error").with("id", m_admitted.request.id.value).with("upstream", attempt->upstream.id.value).with("error", e.what());
        }
    }
    m_silence.clear();
    if (result.isFinal)
        dropHedge();
    recordEnd(*attempt, result);
    if (result.end == AttemptEnd::Cut)
        co_await awaitCrashEvidence();
    co_return result;
}

Awaitable<std::optional<AttemptEnd>> RequestForwarder::beginContained(UpstreamAttempt& attempt)
{
    try {
        co_return co_await beginAttempt(attempt);
    } catch (const std::exception& e) {
        LogLine(LogLevel::Error, "attempt_error").with("id", m_admitted.request.id.value).with("upstream", attempt.upstream.id.value).with("error", e.what());
    }
    // The request may have run, as after a lost connection.
    co_return attempt.isSent ? AttemptEnd::Cut : AttemptEnd::NotSent;
}

Awaitable<std::optional<AttemptEnd>> RequestForwarder::beginAttempt(UpstreamAttempt& attempt)
{
    const auto& upstream = attempt.upstream;
    m_triedUpstreams.push_back(upstream.id);
    m_traffic.limits().sent(processName(upstream), bootNow());
    // A request that may run once gets a new connection: on a reused one, a late response or a refusal of an earlier request could
    // be taken for its own.
    auto connection = !m_admitted.route->isRetryable() ? nullptr : m_traffic.connections().acquire(upstream, bootNow());
    bool isReused = connection != nullptr;
    if (!connection)
        connection = m_traffic.connections().create();
    attempt.connection = connection;
    if (!isReused && !co_await connection->open(upstream.address, std::min(connectTimeout, timeLeft()))) {
        if (!m_caller->hasDisconnected() && !attempt.isSuperseded)
            m_traffic.recordSilence({ upstream.id, m_admitted.request.id, {} });
        co_return AttemptEnd::NotSent;
    }
    if (!isReused)
        m_traffic.recordConnected(bootNow());
    // While the connection was opened, the caller may have left or got its response from the other attempt, the part may have been
    // quarantined, or the upstream may have said that it wants nothing more, or the time until the exit may have become too short.
    if (m_caller->hasDisconnected() || attempt.isSuperseded || (!m_isProbe && m_traffic.promptParts().quarantinedPart(m_parts)) || m_traffic.isHeld(upstream, bootNow()) || !fitsBeforeExit(bootNow())) {
        connection->close();
        co_return AttemptEnd::NotSent;
    }
    attempt.isSent = true;
    attempt.sentAt = bootNow();
    attempt.work = static_cast<std::int64_t>(static_cast<double>(m_admitted.request.promptTokens) * costWeight(attempt));
    m_execution.attemptSent();
    ++m_possibleRuns;
    if (m_admitted.service->engine)
        m_traffic.balancer().recordPrompt(m_admitted.route->name, m_admitted.request.promptTokens);
    attempt.workBefore = m_traffic.balancer().workOn(upstream.id);
    m_traffic.balancer().sent(upstream.id, attempt.work);
    startWaiting(attempt);
    bool isHedge = &attempt != m_attempt.get();
    if (!isHedge && m_admitted.route->isRetryable())
        m_silence.set(silenceLimit(attempt));
    connection->setDeadline(isHedge ? std::min(silenceLimit(attempt), timeLeft()) : timeLeft());
    if (!co_await connection->send(requestHead(attempt), m_admitted.request.body))
        co_return AttemptEnd::NotSent;
    ResponseHead head;
    auto end = co_await connection->readHead(head);
    if (end != TransferEnd::Ok)
        co_return toAttemptEnd(end);
    auto response = platform::decodeResponse(head.status, std::move(head.reason), head.fields);
    if (response.load)
        m_traffic.balancer().reported(upstream.id, *response.load, bootNow());
    recordWishes(upstream, response);
    // A response that does not name this request may be a late response to another one. Refusals may name none.
    bool namesOther = response.answeredRequest != m_admitted.request.id && !(response.notRun && response.answeredRequest.empty());
    if (namesOther)
        co_return toAttemptEnd(connection->reject("response to another request"));
    if (response.wrongInstance)
        m_traffic.endedIncarnations().end(upstream);
    else {
        m_traffic.recordRunning(processName(upstream), attempt.sentAt);
        recordLimit(upstream, response);
    }
    if (response.notRun) {
        spawn(m_traffic.loop(), recycleRefused(m_traffic.connections(), upstream, connection, response.keepAliveTimeout), "recycle_refused");
        attempt.connection = nullptr;
        co_return AttemptEnd::RefusedNotRun;
    }
    attempt.response = std::move(response);
    co_return std::nullopt;
}

void RequestForwarder::recordEnd(UpstreamAttempt& attempt, AttemptResult& result)
{
    attempt.hasEnded = true;
    stopWaiting(attempt);
    if (!attempt.isSent)
        return;
    const auto& upstream = attempt.upstream;
    bool mayHaveRun = result.end != AttemptEnd::NotSent && result.end != AttemptEnd::RefusedNotRun;
    if (attempt.isSuperseded && mayHaveRun)
        result = { attempt.isSilenceRecorded ? AttemptEnd::TimedOut : AttemptEnd::Dropped, false };
    else if (attempt.isWithdrawn && !result.isFinal)
        result = { AttemptEnd::Dropped, false };
    m_traffic.balancer().ended(upstream.id, attempt.work, attempt.firstEventSeen);
    m_execution.attemptEnded(result.end);
    auto connection = std::exchange(attempt.connection, nullptr);
    if (result.end != AttemptEnd::NotSent)
        ++m_deliveredAttempts;
    if (result.end == AttemptEnd::NotSent || result.end == AttemptEnd::RefusedNotRun)
        --m_possibleRuns;
    m_traffic.metrics().attemptEnded(serviceName(), attemptEndName(result.end));
    bool isAbandoned = result.end == AttemptEnd::Cut && m_caller->hasDisconnected() && !attempt.firstEventSeen;
    if (isAbandoned && !m_traffic.limits().isLimited(processName(upstream)) && !m_traffic.links().wereLostSince(attempt.sentAt)) {
        auto now = bootNow();
        m_traffic.recordAbandoned(processName(upstream), { releaseRoute(attempt), toMilliseconds(now - attempt.sentAt), now });
    }
    bool isConnectionLost = result.end == AttemptEnd::Cut || result.end == AttemptEnd::TimedOut || result.end == AttemptEnd::NotSent || result.end == AttemptEnd::Malformed;
    if (!isConnectionLost || !connection)
        return;
    connection->close();
    if (connection->lacksMemory())
        LogLine(LogLevel::Warning, "body_memory_exhausted").with("id", m_admitted.request.id.value).with("upstream", upstream.id.value);
    else if (result.end == AttemptEnd::Malformed)
        LogLine(LogLevel::Warning, "upstream_answer_malformed").with("id", m_admitted.request.id.value).with("upstream", upstream.id.value).with("cause", connection->malformedCause());
    // At its exit, the instance closes the connections itself.
    if (!m_caller->hasDisconnected() && !connection->lacksMemory() && !m_traffic.isExiting(bootNow()) && !(result.end == AttemptEnd::TimedOut && attempt.isSilenceRecorded))
        recordUpstreamFailure(attempt, result.end);
}

void RequestForwarder::onSilence()
{
    if (!m_attempt || m_attempt->hasEnded || !m_attempt->connection || m_hedge)
        return;
    // After a pause of the process, what the upstream sent meanwhile is read first.
    if (m_attempt->connection->hasUnreadInput() && !std::exchange(m_isSilenceDeferred, true)) {
        m_silence.set(unreadInputTime);
        return;
    }
    if (!mayTryAnother()) {
        m_silence.set(silenceLimit(*m_attempt));
        return;
    }
    if (!std::exchange(m_attempt->isSilenceRecorded, true))
        recordUpstreamFailure(*m_attempt, AttemptEnd::TimedOut);
    hedgeOrWait({ AttemptEnd::TimedOut, false }, m_model);
}

void RequestForwarder::hedgeOrWait(const AttemptResult& last, const std::optional<ModelId>& model)
{
    if (mustLeaveUpstream()) {
        m_attempt->connection->expire();
        return;
    }
    if (!reserveRetry(last, bootNow()) || !startHedge(model))
        m_silence.set(silenceLimit(*m_attempt));
}

bool RequestForwarder::mustLeaveUpstream()
{
    if (!m_traffic.links().isLost())
        return false;
    // A stream that has begun would be reset if there were no peer to go on with it.
    return !m_caller->hasStartedResponse() || (!m_admitted.request.isRelayed && m_traffic.chooseRelay(m_triedPeers));
}

bool RequestForwarder::startHedge(const std::optional<ModelId>& model)
{
    auto now = bootNow();
    if (m_isProbe || m_traffic.promptParts().quarantinedPart(m_parts))
        return false;
    const auto* upstream = chooseUpstream(now);
    if (!upstream)
        return false;
    m_hedge = std::make_shared<UpstreamAttempt>();
    m_hedge->upstream = *upstream;
    m_hedge->model = model;
    LogLine(LogLevel::Info, "hedge_started").with("id", m_admitted.request.id.value).with("upstream", upstream->id.value).with("current", m_attempt->upstream.id.value).with("current_ms", toMilliseconds(now - m_attempt->sentAt).count()).with("begun", m_caller->hasStartedResponse() ? "yes" : "no").with("ms_left", timeLeft().count());
    spawn(m_traffic.loop(), runHedge(shared_from_this(), m_hedge), "hedge");
    return true;
}

Awaitable<void> RequestForwarder::runHedge(std::shared_ptr<RequestForwarder> self, std::shared_ptr<UpstreamAttempt> attempt)
{
    auto end = co_await self->beginContained(*attempt);
    bool hasWon = !end && !attempt->isSuperseded && self->canTakeOver(*attempt);
    const char* outcome = hasWon ? "took_over" : attemptEndName(end.value_or(AttemptEnd::UpstreamError));
    if (attempt->isSuperseded)
        outcome = "not_needed";
    LogLine(LogLevel::Info, "hedge_ended").with("id", self->m_admitted.request.id.value).with("upstream", attempt->upstream.id.value).with("end", outcome).with("ms_left", self->timeLeft().count());
    if (hasWon) {
        auto& current = *self->m_attempt;
        self->m_silence.clear();
        attempt->connection->setDeadline(self->timeLeft());
        if (!current.hasEnded) {
            current.isSuperseded = true;
            if (current.connection)
                current.connection->close();
        }
        self->m_hedgeChanged.cancel();
        co_return;
    }
    if (!end) {
        attempt->connection->close();
        if (!attempt->isSuperseded) {
            self->m_traffic.countFailure(self->releaseRoute(*attempt));
            self->m_traffic.balancer().failed(attempt->upstream.id, bootNow());
        }
    }
    AttemptResult result { end.value_or(AttemptEnd::UpstreamError), false };
    self->recordEnd(*attempt, result);
    if (result.end == AttemptEnd::Cut)
        co_await self->awaitCrashEvidence();
    // It may have been dropped.
    if (self->m_hedge != attempt)
        co_return;
    self->m_hedge = nullptr;
    self->m_hedgeChanged.cancel();
    // If the current attempt has ended as well, serve() decides what follows.
    if (!self->m_attempt->hasEnded && !self->m_caller->hasDisconnected())
        self->hedgeOrWait(result, attempt->model);
}

bool RequestForwarder::canTakeOver(const UpstreamAttempt& attempt) const
{
    // The caller already has the head of an event stream, so only the rest of one can follow.
    if (m_caller->hasStartedResponse())
        return attempt.response->isEventStream && attempt.response->status < 300;
    return attempt.response->status < 500;
}

void RequestForwarder::dropHedge()
{
    if (!m_hedge)
        return;
    auto hedge = std::exchange(m_hedge, nullptr);
    hedge->isSuperseded = true;
    if (hedge->connection)
        hedge->connection->close();
    // One that has begun to respond waits for serve() to go on with it; any other ends in runHedge().
    AttemptResult result { AttemptEnd::Dropped, false };
    if (hedge->response)
        recordEnd(*hedge, result);
}

Awaitable<void> RequestForwarder::awaitHedge()
{
    while (m_hedge && !m_hedge->response) {
        boost::system::error_code ec;
        m_hedgeChanged.expires_at(asio::steady_timer::time_point::max());
        co_await m_hedgeChanged.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

void RequestForwarder::startWaiting(UpstreamAttempt& attempt)
{
    if (m_parts.empty() || m_isProbe)
        return;
    auto withdraw = [&attempt] {
        attempt.isWithdrawn = true;
        if (attempt.connection)
            attempt.connection->close();
    };
    attempt.waiting = m_traffic.addWaiting({ m_parts, withdraw });
}

void RequestForwarder::stopWaiting(UpstreamAttempt& attempt)
{
    if (attempt.waiting)
        m_traffic.removeWaiting(*std::exchange(attempt.waiting, std::nullopt));
}

Awaitable<void> RequestForwarder::awaitCrashEvidence()
{
    if (!m_caller->hasDisconnected() && m_traffic.promptParts().isSuspected(m_parts))
        co_await sleepFor(m_traffic.loop(), std::min(crashEvidenceTime, timeLeft()));
}

Awaitable<RequestForwarder::AttemptResult> RequestForwarder::relayResponse(UpstreamAttempt& attempt)
{
    const auto& response = *attempt.response;
    bool isStream = m_admitted.route->kind == RouteKind::Streaming && response.isEventStream && response.status < 300;
    if (isStream && co_await escalateModel(attempt))
        co_return AttemptResult { AttemptEnd::Dropped, false };
    if (isStream)
        co_return co_await relayStream(attempt);
    co_return co_await relayBuffered(attempt);
}

Awaitable<RequestForwarder::AttemptResult> RequestForwarder::relayBuffered(UpstreamAttempt& attempt)
{
    const auto& upstream = attempt.upstream;
    auto& response = *attempt.response;
    BodyMemory::Share memory(m_traffic.bodyMemory());
    auto body = co_await attempt.connection->readWholeBody(maxBufferedBytes, std::nullopt, &memory);
    if (body.end != TransferEnd::Ok || attempt.isSuperseded)
        co_return AttemptResult { toAttemptEnd(body.end), false };
    m_silence.clear();
    auto now = bootNow();
    releaseConnection(attempt, response.keepAliveTimeout, now);
    bool isGood = response.status < 500;
    if (isGood) {
        m_traffic.countSuccess(releaseRoute(attempt), processName(upstream), toMilliseconds(now - attempt.sentAt));
        recordUpstreamSuccess(attempt);
        m_traffic.recordServedParts(m_parts, now);
    } else {
        m_traffic.countFailure(releaseRoute(attempt));
        m_traffic.balancer().failed(upstream.id, now);
    }
    AttemptResult result { isGood ? AttemptEnd::Completed : AttemptEnd::UpstreamError, true };
    // The caller already has the head of an event stream, so this response cannot be sent.
    if (m_caller->hasStartedResponse())
        co_return AttemptResult { AttemptEnd::UpstreamError, false };
    bool awaitsHedge = !isGood && m_hedge;
    if (awaitsHedge || (!isGood && reserveRetry({ AttemptEnd::UpstreamError, false }, now))) {
        m_savedError = toCallerResponse(std::move(response), std::move(body.bytes));
        co_return AttemptResult { AttemptEnd::UpstreamError, false, !awaitsHedge };
    }
    dropHedge();
    auto status = response.status;
    recordFirstByte(now);
    countOutcome(isGood ? "none" : "upstream_error");
    if (co_await m_caller->respond(toCallerResponse(std::move(response), std::move(body.bytes))))
        logOutcome(isGood ? "none" : "upstream_error", status);
    co_return result;
}

Awaitable<RequestForwarder::AttemptResult> RequestForwarder::relayStream(UpstreamAttempt& attempt)
{
    const auto& upstream = attempt.upstream;
    auto connection = attempt.connection;
    m_events.restart();
    auto keepAliveTimeout = attempt.response->keepAliveTimeout;
    BodyMemory::Share memory(m_traffic.bodyMemory());
    // If the stream resumes at another upstream, the caller already has the head of the first one.
    auto head = m_caller->hasStartedResponse() ? std::nullopt : std::optional(toCallerResponse(std::move(*attempt.response)));
    for (;;) {
        auto piece = co_await connection->readBody();
        if (m_caller->hasDisconnected())
            co_return AttemptResult { AttemptEnd::Cut, true };
        if (attempt.isSuperseded)
            co_return AttemptResult { AttemptEnd::Dropped, false };
        auto events = m_events.feed(piece.bytes);
        if (events.isTooLong)
            co_return AttemptResult { toAttemptEnd(connection->reject("event too long")), false };
        if (!memory.set(m_events.bufferedBytes()))
            co_return AttemptResult { toAttemptEnd(connection->reject("too many long events")), false };
        bool isComplete = piece.isLast && !m_events.hasPartialEvent();
        if (events.events > 0 || isComplete) {
            dropHedge();
            // A caller that reads slowly is no silence of the upstream.
            m_silence.clear();
            if (std::exchange(attempt.isSilenceRecorded, false))
                m_traffic.balancer().succeeded(upstream.id);
        }
        if (events.events > 0 && !attempt.firstEventSeen) {
            auto now = bootNow();
            attempt.firstEventSeen = true;
            attempt.firstEventAt = now;
            stopWaiting(attempt);
            m_traffic.balancer().begun(upstream.id, attempt.work);
            m_traffic.balancer().recordFirstEvent(attempt.workBefore + attempt.work, toMilliseconds(now - attempt.sentAt));
            m_traffic.countSuccess(releaseRoute(attempt), processName(upstream), toMilliseconds(now - attempt.sentAt));
            m_traffic.recordSessionRelease(m_admitted.request, upstream.release, now);
            recordUpstreamSuccess(attempt);
        }
        if (isComplete)
            events.bytes += m_events.takeComments();
        if (head && (events.events > 0 || isComplete)) {
            recordFirstByte(bootNow());
            auto begun = *std::exchange(head, std::nullopt);
            co_await m_caller->beginBody(std::move(begun));
        }
        co_await m_caller->writeBody(events.bytes);
        if (isComplete) {
            recordStreamServed(attempt, connection->endsWithConnection());
            releaseConnection(attempt, keepAliveTimeout, bootNow());
            countOutcome("none");
            if (co_await m_caller->endBody())
                logOutcome("none", 200);
            co_return AttemptResult { AttemptEnd::Completed, true };
        }
        if (piece.end != TransferEnd::Ok || piece.isLast)
            co_return AttemptResult { toAttemptEnd(piece.end), false };
        // Only an event ends a silence, since an upstream in trouble may send other bytes without end.
        if (events.events == 0)
            continue;
        recordOutlived(attempt, bootNow());
        m_isSilenceDeferred = false;
        if (m_admitted.route->isRetryable())
            m_silence.set(silenceLimit(attempt));
    }
}

Awaitable<bool> RequestForwarder::escalateModel(UpstreamAttempt& attempt)
{
    const auto& response = *attempt.response;
    if (!m_model || !response.confidence || m_caller->hasStartedResponse() || m_events.last() || m_possibleRuns >= m_admitted.route->maxAttempts || !fitsBeforeExit(bootNow()))
        co_return false;
    const auto* larger = largerModel(*m_admitted.route, *m_model);
    if (!larger)
        co_return false;
    auto now = bootNow();
    auto eligible = m_traffic.findEligibleUpstreams(m_admitted.service->name, m_admitted.request, now);
    auto& balancer = m_traffic.balancer();
    EngineLoad load { balancer.meanWork(eligible.allowed), m_admitted.request.promptTokens, balancer.promptRatio(m_admitted.route->name), balancer.millisecondsPerToken() };
    auto needed = requiredConfidence(load, m_admitted.rank, m_admitted.route->targetLatency - toMilliseconds(now - m_received.receivedAt));
    if (*response.confidence >= needed)
        co_return false;
    bool hasBudget = m_traffic.takeRetry(m_admitted.service->name, now, ServiceRetryBudget::largerModelFraction);
    LogLine(LogLevel::Info, "low_confidence_answer").with("id", m_admitted.request.id.value).with("model", m_model->value).with("confidence_percent", percent(*response.confidence)).with("required_percent", percent(needed)).with("mean_work", static_cast<std::int64_t>(load.work)).with("next", hasBudget ? larger->value : "none_within_budget");
    if (!hasBudget)
        co_return false;
    // Its response is held meanwhile, and relayed if no larger model takes the request. That may run on the same upstream.
    m_silence.clear();
    auto tried = std::exchange(m_triedUpstreams, {});
    if (startHedge(*larger))
        co_await awaitHedge();
    if (!attempt.isSuperseded) {
        m_triedUpstreams = std::move(tried);
        m_silence.set(silenceLimit(attempt));
        co_return false;
    }
    auto latency = toMilliseconds(now - attempt.sentAt);
    m_traffic.countSuccess(releaseRoute(attempt), processName(attempt.upstream), latency);
    co_return true;
}

void RequestForwarder::releaseConnection(UpstreamAttempt& attempt, std::optional<Seconds> idleTimeout, TimePoint now)
{
    stopWaiting(attempt);
    m_traffic.connections().recycle(attempt.upstream, std::exchange(attempt.connection, nullptr), idleTimeout, now);
}

double RequestForwarder::costWeight(const UpstreamAttempt& attempt) const
{
    return attempt.model && m_admitted.service->engine ? modelWeight(*m_admitted.service->engine, *attempt.model) : 1;
}

ReleaseRoute RequestForwarder::releaseRoute(const UpstreamAttempt& attempt) const
{
    return { m_admitted.service->name, attempt.upstream.release, m_admitted.route->name, attempt.model.value_or(ModelId {}) };
}

std::string RequestForwarder::requestHead(const UpstreamAttempt& attempt) const
{
    platform::RouterFields routerFields { .upstream = attempt.upstream.id, .callerTimeout = timeLeft(), .team = m_admitted.team, .lastEvent = m_events.last() };
    if (m_admitted.service->engine)
        routerFields.urgency = std::min(lowestUrgency, m_admitted.rank * urgencyPerRank);
    routerFields.model = attempt.model;
    return platform::encodeRequestHead(m_admitted.request, routerFields);
}

bool RequestForwarder::reserveRetry(const AttemptResult& result, TimePoint now)
{
    if (timeLeft() < minUsefulTime || !fitsBeforeExit(now) || m_triedUpstreams.size() >= maxUnreachableUpstreams + static_cast<std::size_t>(m_admitted.route->maxAttempts))
        return false;
    // No attempt has reached an upstream yet: the next one needs no retry budget.
    if (result.end == AttemptEnd::NotSent && m_deliveredAttempts == 0 && m_execution.executed() == Executed::No)
        return true;
    bool mayHaveRun = result.end != AttemptEnd::NotSent && result.end != AttemptEnd::RefusedNotRun;
    if (mayHaveRun && !m_admitted.route->isRetryable())
        return false;
    if (result.end == AttemptEnd::Cut && m_traffic.promptParts().isRetryUnsafe(m_parts))
        return false;
    if (m_possibleRuns >= m_admitted.route->maxAttempts || m_traffic.crashes().refuses(m_admitted.fingerprint) || !chooseUpstream(now))
        return false;
    return m_traffic.takeRetry(m_admitted.service->name, now);
}

ErrorKind RequestForwarder::noUpstreamError() const
{
    if (m_pausedFor)
        return ErrorKind::UpstreamsPaused;
    return m_limitedFor ? ErrorKind::UpstreamLimitReached : ErrorKind::NoHealthyUpstream;
}

ErrorKind RequestForwarder::errorFor(const AttemptResult& result) const
{
    auto now = bootNow();
    bool isKeptBack = m_execution.executed() == Executed::No && !fitsBeforeExit(now);
    if (m_traffic.isExiting(now) || isKeptBack)
        return ErrorKind::InstanceDraining;
    if (timeLeft() < minUsefulTime)
        return ErrorKind::DeadlineExceeded;
    if (result.end == AttemptEnd::NotSent)
        return ErrorKind::NoHealthyUpstream;
    if (result.end == AttemptEnd::RefusedNotRun)
        return m_pausedFor ? ErrorKind::UpstreamsPaused : ErrorKind::Overloaded;
    return ErrorKind::UpstreamFailed;
}

Milliseconds RequestForwarder::retryAfter(const ErrorInfo& error) const
{
    auto time = error.retryAfter;
    if (error.kind == ErrorKind::UpstreamLimitReached)
        time = m_limitedFor.value_or(time);
    if (error.kind == ErrorKind::UpstreamsPaused)
        time = m_pausedFor.value_or(time);
    return std::max(minRetryAfter, std::min(time, Milliseconds(timeLeft() / waitDivisor)));
}

Awaitable<void> RequestForwarder::respondWithError(ErrorKind kind)
{
    const auto& row = errorInfo(kind);
    if (m_caller->hasStartedResponse()) {
        m_caller->abort();
        logOutcome(row.name, 0);
        co_return;
    }
    if (m_savedError) {
        auto response = *std::exchange(m_savedError, std::nullopt);
        logOutcome("upstream_error", response.status);
        co_await m_caller->respond(std::move(response));
        co_return;
    }
    auto executed = m_execution.executed();
    EdgeResponse response { .status = row.httpStatus };
    if (executed != Executed::No && impliesNotRun(response.status))
        response.status = errorInfo(ErrorKind::UpstreamFailed).httpStatus;
    // If the deadline passed and the request was not run, the status says so, so that the caller may resend it.
    if (executed == Executed::No && kind == ErrorKind::DeadlineExceeded)
        response.status = errorInfo(ErrorKind::NoHealthyUpstream).httpStatus;
    // Without a time to come back, the caller is not invited to.
    if (impliesNotRun(response.status) && row.retryAfter > Milliseconds(0)) {
        response.fields.push_back({ "Retry-After", absl::StrCat(static_cast<double>(retryAfter(row).count()) / 1000) });
    }
    logOutcome(row.name, response.status);
    co_await m_caller->respond(std::move(response));
}

void RequestForwarder::recordUpstreamFailure(const UpstreamAttempt& attempt, AttemptEnd end)
{
    const auto& upstream = attempt.upstream;
    auto now = bootNow();
    // An upstream that states a limit is in need, so a late response is not its failure.
    if (end == AttemptEnd::TimedOut && m_traffic.limits().isLimited(processName(upstream)))
        return;
    if (m_traffic.isOwnLoss(upstream.id, end, attempt.sentAt, now)) {
        LogLine(LogLevel::Warning, "own_link_lost").with("id", m_admitted.request.id.value).with("upstream", upstream.id.value).with("end", attemptEndName(end)).with("ms", toMilliseconds(now - attempt.sentAt).count());
        return;
    }
    if (end == AttemptEnd::TimedOut) {
        m_traffic.recordSilence({ upstream.id, m_admitted.request.id, LateResponse { processName(upstream), releaseRoute(attempt), now } });
        return;
    }
    if (end != AttemptEnd::NotSent)
        m_traffic.recordBrokenResponse(processName(upstream), releaseRoute(attempt), now);
    if (end == AttemptEnd::Cut) {
        m_traffic.recordLostRequest({ processName(upstream), m_admitted.request.id, m_parts, attempt.sentAt }, now);
        m_traffic.crashes().recordCrash(m_admitted.fingerprint, UpstreamId { processName(upstream) }, now);
        LogLine(LogLevel::Warning, "upstream_connection_lost").with("id", m_admitted.request.id.value).with("upstream", upstream.id.value).with("born", upstream.born).with("fingerprint", m_admitted.fingerprint).with("crashes", m_traffic.crashes().crashCount(m_admitted.fingerprint)).with("parts", loggedParts(m_admitted.request)).with("ms", toMilliseconds(now - attempt.sentAt).count()).with("first_event", attempt.firstEventSeen ? "yes" : "no").with("requests", m_traffic.balancer().requestsOn(upstream.id));
    }
    if (m_traffic.balancer().failed(upstream.id, now))
        LogLine(LogLevel::Warning, "upstream_ejected").with("id", m_admitted.request.id.value).with("upstream", upstream.id.value).with("service", serviceName()).with("last_end", attemptEndName(end));
}

void RequestForwarder::recordUpstreamSuccess(const UpstreamAttempt& attempt)
{
    const auto& upstream = attempt.upstream;
    m_traffic.balancer().succeeded(upstream.id);
    m_traffic.crashes().recordAlive(UpstreamId { processName(upstream) }, attempt.sentAt);
    m_traffic.recordAnswer(processName(upstream), attempt.sentAt);
}

void RequestForwarder::recordStreamServed(const UpstreamAttempt& attempt, bool endedWithConnection)
{
    if (m_parts.empty() || !attempt.firstEventSeen)
        return;
    if (endedWithConnection)
        spawn(m_traffic.loop(), settleEndOfConnection(m_traffic, { processName(attempt.upstream), m_admitted.request.id, m_parts, attempt.sentAt }), "settle_end_of_connection");
    else
        m_traffic.recordServedParts(m_parts, bootNow());
}

void RequestForwarder::recordOutlived(UpstreamAttempt& attempt, TimePoint now)
{
    m_traffic.recordRunning(processName(attempt.upstream), now - staleBytesTime);
    if (attempt.hasOutlived || now < attempt.firstEventAt + PromptPartGuard::outlivedTime)
        return;
    attempt.hasOutlived = true;
    m_traffic.recordServedParts(m_parts, now);
}

void RequestForwarder::recordWishes(const UpstreamEntry& upstream, const UpstreamResponse& response)
{
    // Another upstream answered, so what it says of itself does not concern this one.
    if (response.wrongInstance)
        return;
    if (response.isLeaving && !m_traffic.endedIncarnations().contains(upstream)) {
        m_traffic.endedIncarnations().end(upstream);
        LogLine(LogLevel::Info, "upstream_leaving").with("id", m_admitted.request.id.value).with("upstream", upstream.id.value).with("born", upstream.born).with("status", response.status);
    }
    if (response.isPauseMalformed)
        LogLine(LogLevel::Warning, "retry_after_malformed").with("id", m_admitted.request.id.value).with("upstream", upstream.id.value);
    if (response.pause && m_traffic.pauses().record(processName(upstream), *response.pause, bootNow()))
        LogLine(LogLevel::Info, "upstream_paused").with("id", m_admitted.request.id.value).with("upstream", upstream.id.value).with("ms", response.pause->count());
}

void RequestForwarder::recordLimit(const UpstreamEntry& upstream, const UpstreamResponse& response)
{
    // What cannot be read neither states a limit nor ends one.
    if (response.isRequestLimitMalformed)
        LogLine(LogLevel::Warning, "upstream_limit_malformed").with("id", m_admitted.request.id.value).with("upstream", upstream.id.value);
    else
        m_traffic.recordLimit(upstream, response, bootNow());
}

void RequestForwarder::recordFirstByte(TimePoint now)
{
    m_firstByteAt = now;
    m_traffic.metrics().firstByte(m_admitted.team.value_or(TeamId {}), m_admitted.rank, now - m_received.receivedAt);
}

void RequestForwarder::countOutcome(std::string_view error)
{
    if (!std::exchange(m_isOutcomeCounted, true))
        m_traffic.metrics().requestEnded(m_admitted.team.value_or(TeamId {}), m_admitted.rank, std::string(error), bootNow() - m_received.receivedAt);
}

void RequestForwarder::logOutcome(std::string_view error, int status)
{
    countOutcome(error);
    auto now = bootNow();
    LogLine line(error == "none" || error == "caller_left" ? LogLevel::Info : LogLevel::Warning, "request");
    line.with("id", m_admitted.request.id.value).with("status", status).with("error", error).with("route", m_admitted.route ? m_admitted.route->name : "").with("team", m_admitted.team ? m_admitted.team->value : "");
    line.with("service", serviceName()).with("upstream", m_triedUpstreams.empty() ? "" : m_triedUpstreams.back().value).with("upstreams_tried", static_cast<std::int64_t>(m_triedUpstreams.size()));
    line.with("attempts_delivered", m_deliveredAttempts).with("ran", m_execution.executed() == Executed::No ? "no" : "maybe").with("ms", toMilliseconds(now - m_received.receivedAt).count());
    if (!m_triedPeers.empty())
        line.with("relays", static_cast<std::int64_t>(m_triedPeers.size()));
    line.with("idle_ms", m_received.idleTime.count()).with("connection", connectionEndName(m_caller->end()));
    if (m_firstByteAt)
        line.with("first_byte_ms", toMilliseconds(*m_firstByteAt - m_received.receivedAt).count());
    if (m_model)
        line.with("model", m_model->value);
    if (const auto* part = m_traffic.promptParts().quarantinedPart(m_parts))
        line.with("part", *part).with("crashes", m_traffic.promptParts().crashesOf(*part));
    if (error == errorInfo(ErrorKind::RequestQuarantined).name)
        line.with("fingerprint", m_admitted.fingerprint).with("crashes", m_traffic.crashes().crashCount(m_admitted.fingerprint));
    if (m_admitted.configuration)
        line.with("configuration", m_admitted.configuration->version).with("view_age_ms", toMilliseconds(now - m_view->upToDateAt).count());
}

Milliseconds RequestForwarder::timeLeft() const
{
    return std::max(Milliseconds(0), toMilliseconds(m_admitted.deadline - bootNow()));
}

bool RequestForwarder::mayTryAnother() const
{
    return m_admitted.route->isRetryable() && m_possibleRuns < m_admitted.route->maxAttempts && fitsBeforeExit(bootNow());
}

Milliseconds RequestForwarder::silenceLimit(const UpstreamAttempt& attempt) const
{
    const auto& route = *m_admitted.route;
    if (route.kind != RouteKind::Streaming)
        return std::max(minUsefulTime, scaled(route.targetLatency, responseTimeoutFactor));
    auto usual = attempt.firstEventSeen ? scaled(route.targetGap, eventGapTimeoutFactor) : scaled(route.targetLatency, firstEventTimeoutFactor);
    return std::max({ minUsefulTime, leastSilence(timeLeft()), usual });
}

}
