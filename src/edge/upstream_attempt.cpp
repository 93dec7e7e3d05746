#include "edge/upstream_attempt.h"

#include "adapters/log.h"
#include "core/routing/model_choice.h"
#include "core/scheduling/silence_limit.h"
#include "edge/prompt_expectation.h"
#include "edge/upstream_evidence.h"
#include "platform/request_codec.h"

namespace skylarkhitch {

namespace {

    // A healthy upstream accepts a connection within a few milliseconds; one on a machine without power never answers.
    constexpr Milliseconds connectTimeout { 300 };
    // The body of a refusal is read only so that the connection can be reused.
    constexpr std::size_t maxRefusalBytes = std::size_t { 64 } * 1024;
    constexpr Milliseconds refusalTimeout { 200 };
    // Engines take an urgency from 0 to 9, of which each rank spans this many steps.
    constexpr std::int64_t urgencyPerRank = 3;
    constexpr std::int64_t lowestUrgency = 9;

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

    // Ends an attempt whose refusal may be that of an earlier request on the connection, written once more while the upstream runs this
    // one. An upstream drops what it runs when the connection is closed.
    void closeUnattributed(const RequestContext& request, const UpstreamAttempt& attempt)
    {
        LogLine(LogLevel::Debug, "refusal_unattributed").with("id", request.id()).with("upstream", attempt.upstream.id.value);
        attempt.connection->close();
    }

    // Work of a prompt token on the attempt's model, relative to the most expensive model; 1 if the router chose none.
    double costWeight(const RequestContext& request, const UpstreamAttempt& attempt)
    {
        return attempt.model && request.admitted.service->engine ? modelWeight(*request.admitted.service->engine, *attempt.model) : 1;
    }

    std::string requestHead(const RequestContext& request, const UpstreamAttempt& attempt)
    {
        platform::RouterFields routerFields { .upstream = attempt.upstream.id, .callerTimeout = request.timeLeft(), .team = request.admitted.team, .lastEvent = request.events.last() };
        if (request.admitted.service->engine)
            routerFields.urgency = std::min(lowestUrgency, request.admitted.rank * urgencyPerRank);
        routerFields.model = attempt.model;
        return platform::encodeRequestHead(request.admitted.request, routerFields);
    }

    // Keeps the request in the list of those that are withdrawn when a part of their prompt is quarantined.
    void startWaiting(RequestContext& request, UpstreamAttempt& attempt)
    {
        if (request.parts.empty() || request.isProbe)
            return;
        auto withdraw = [&attempt] {
            attempt.isWithdrawn = true;
            if (attempt.connection)
                attempt.connection->close();
        };
        attempt.waiting = request.traffic.addWaiting({ request.parts, withdraw });
    }

    // As beginAttempt(), and may throw.
    Awaitable<std::optional<AttemptEnd>> begin(RequestContext& request, UpstreamAttempt& attempt, DeadlineTimer& silence)
    {
        auto& traffic = request.traffic;
        const auto& upstream = attempt.upstream;
        request.triedUpstreams.push_back(upstream.id);
        traffic.limits().sent(processName(upstream), bootNow());
        // A request that may run once gets a new connection: on a reused one, a late response or a refusal of an earlier request could
        // be taken for its own.
        auto connection = !request.admitted.route->isRetryable() ? nullptr : traffic.connections().acquire(upstream, bootNow());
        bool isReused = connection != nullptr;
        if (!connection)
            connection = traffic.connections().create();
        attempt.connection = connection;
        if (!isReused && !co_await connection->open(upstream.address, std::min(connectTimeout, request.timeLeft()))) {
            if (!request.caller->hasDisconnected() && !attempt.isSuperseded)
                traffic.recordSilence({ upstream.id, request.admitted.request.id, {} });
            co_return AttemptEnd::NotSent;
        }
        if (!isReused)
            traffic.recordConnected(bootNow());
        // While the connection was opened, the caller may have left or got its response from the other attempt, the part may have been
        // quarantined, or the upstream may have said that it wants nothing more, or the time until the exit may have become too short.
        if (request.caller->hasDisconnected() || attempt.isSuperseded || (!request.isProbe && traffic.promptParts().isHeldBack(request.parts)) || traffic.isHeld(upstream, bootNow()) || !request.fitsBeforeExit(bootNow())) {
            connection->close();
            co_return AttemptEnd::NotSent;
        }
        attempt.isSent = true;
        request.retry.sent();
        attempt.sentAt = bootNow();
        attempt.work = static_cast<std::int64_t>(static_cast<double>(request.admitted.request.promptTokens) * costWeight(request, attempt));
        if (attempt.prompt) {
            attempt.work = unreadWork(*attempt.prompt);
            setExpectedTimes(traffic, upstream, *attempt.prompt, attempt.sentAt);
        }
        request.execution.attemptSent();
        ++request.possibleRuns;
        if (request.admitted.service->engine)
            traffic.balancer().recordPrompt(request.admitted.route->name, request.admitted.request.promptTokens);
        attempt.workBefore = traffic.balancer().workOn(upstream.id);
        attempt.memory = request.commitment();
        traffic.balancer().sent(upstream.id, attempt.work, attempt.memory);
        startWaiting(request, attempt);
        if (!attempt.isHedge && request.admitted.route->isRetryable())
            silence.set(silenceLimit(request, attempt));
        connection->setDeadline(attempt.isHedge ? std::min(silenceLimit(request, attempt), request.timeLeft()) : request.timeLeft());
        if (!co_await connection->send(requestHead(request, attempt), request.admitted.request.body))
            co_return AttemptEnd::NotSent;
        ResponseHead head;
        auto end = co_await connection->readHead(head);
        if (end != TransferEnd::Ok)
            co_return toAttemptEnd(end);
        auto response = platform::decodeResponse(head.status, std::move(head.reason), head.fields);
        if (response.load)
            traffic.balancer().reported(upstream, *response.load, bootNow());
        recordWishes(request, upstream, response);
        // A response that does not name this request may be a late response to another one. Refusals may name none.
        bool namesOther = response.answeredRequest != request.admitted.request.id && !(response.notRun && response.answeredRequest.empty());
        if (namesOther)
            co_return toAttemptEnd(connection->reject("response to another request"));
        recordMisdirection(request, attempt, response);
        if (!mayBeFromOther(response, upstream)) {
            traffic.recordRunning(processName(upstream), attempt.sentAt);
            recordLimit(request, upstream, response);
        }
        if (response.notRun) {
            if (isReused && response.answeredRequest.empty())
                closeUnattributed(request, attempt);
            else
                spawn(traffic.loop(), recycleRefused(traffic.connections(), upstream, connection, response.keepAliveTimeout), "recycle_refused");
            attempt.connection = nullptr;
            co_return AttemptEnd::RefusedNotRun;
        }
        attempt.response = std::move(response);
        co_return std::nullopt;
    }

}

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

ReleaseRoute releaseRoute(const RequestContext& request, const UpstreamAttempt& attempt)
{
    return { request.admitted.service->name, attempt.upstream.release, request.admitted.route->name, attempt.model.value_or(ModelId {}) };
}

Milliseconds silenceLimit(const RequestContext& request, const UpstreamAttempt& attempt)
{
    return silenceLimit(*request.admitted.route, attempt.firstEventSeen, request.timeLeft());
}

Awaitable<std::optional<AttemptEnd>> beginAttempt(RequestContext& request, UpstreamAttempt& attempt, DeadlineTimer& silence)
{
    try {
        co_return co_await begin(request, attempt, silence);
    } catch (const std::exception& e) {
        LogLine(LogLevel::Error, "attempt_error").with("id", request.id()).with("upstream", attempt.upstream.id.value).with("error", e.what());
    }
    // The request may have run, as after a lost connection.
    co_return attempt.isSent ? AttemptEnd::Cut : AttemptEnd::NotSent;
}

void recordEnd(RequestContext& request, UpstreamAttempt& attempt, AttemptResult& result)
{
    auto& traffic = request.traffic;
    attempt.hasEnded = true;
    stopWaiting(request, attempt);
    if (!attempt.isSent)
        return;
    const auto& upstream = attempt.upstream;
    // A session lasts from the end of a response, which may come long after its first event.
    if (attempt.firstEventSeen)
        traffic.recordSessionRelease(request.admitted.request, upstream.release, bootNow());
    bool mayHaveRun = result.end != AttemptEnd::NotSent && result.end != AttemptEnd::RefusedNotRun;
    if (attempt.isSuperseded && mayHaveRun)
        result = { attempt.isSilenceRecorded ? AttemptEnd::TimedOut : AttemptEnd::Dropped, false };
    else if (attempt.isWithdrawn && !result.isFinal)
        result = { AttemptEnd::Dropped, false };
    traffic.balancer().ended(upstream.id, attempt.work, attempt.firstEventSeen, attempt.memory);
    request.execution.attemptEnded(result.end);
    auto connection = std::exchange(attempt.connection, nullptr);
    if (result.end != AttemptEnd::NotSent)
        ++request.deliveredAttempts;
    if (result.end == AttemptEnd::NotSent || result.end == AttemptEnd::RefusedNotRun)
        --request.possibleRuns;
    traffic.metrics().attemptEnded(request.serviceName(), attemptEndName(result.end));
    bool isAbandoned = result.end == AttemptEnd::Cut && request.caller->hasDisconnected() && !attempt.firstEventSeen;
    if (isAbandoned && !traffic.limits().isLimited(processName(upstream)) && !traffic.links().wereLostSince(attempt.sentAt)) {
        auto now = bootNow();
        traffic.recordAbandoned(processName(upstream), { releaseRoute(request, attempt), toMilliseconds(now - attempt.sentAt), now });
    }
    bool isConnectionLost = result.end == AttemptEnd::Cut || result.end == AttemptEnd::TimedOut || result.end == AttemptEnd::NotSent || result.end == AttemptEnd::Malformed;
    if (!isConnectionLost || !connection)
        return;
    connection->close();
    if (connection->lacksMemory())
        LogLine(LogLevel::Warning, "body_memory_exhausted").with("id", request.id()).with("upstream", upstream.id.value);
    else if (result.end == AttemptEnd::Malformed)
        LogLine(LogLevel::Warning, "upstream_answer_malformed").with("id", request.id()).with("upstream", upstream.id.value).with("cause", connection->malformedCause());
    // At its exit, the instance closes the connections itself.
    if (!request.caller->hasDisconnected() && !connection->lacksMemory() && !traffic.isExiting(bootNow()) && !(result.end == AttemptEnd::TimedOut && attempt.isSilenceRecorded))
        recordUpstreamFailure(request, attempt, result.end);
}

void stopWaiting(RequestContext& request, UpstreamAttempt& attempt)
{
    if (attempt.waiting)
        request.traffic.removeWaiting(*std::exchange(attempt.waiting, std::nullopt));
}

void releaseConnection(RequestContext& request, UpstreamAttempt& attempt, std::optional<Seconds> idleTimeout, TimePoint now)
{
    stopWaiting(request, attempt);
    request.traffic.connections().recycle(attempt.upstream, std::exchange(attempt.connection, nullptr), idleTimeout, now);
}

}
