#include "edge/upstream_evidence.h"

#include "adapters/log.h"

#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // Time in which the losses of connections that one crash causes become known, including those that peers see.
    constexpr Milliseconds crashEvidenceTime { 40 };
    // Bytes that a process sent before its crash are read within this time after it.
    constexpr Milliseconds staleBytesTime { 200 };

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

}

void recordUpstreamFailure(RequestContext& request, const UpstreamAttempt& attempt, AttemptEnd end)
{
    auto& traffic = request.traffic;
    const auto& upstream = attempt.upstream;
    auto now = bootNow();
    // An upstream that states a limit is in need, so a late response is not its failure.
    if (end == AttemptEnd::TimedOut && traffic.limits().isLimited(processName(upstream)))
        return;
    if (traffic.isOwnLoss(upstream.id, end, attempt.sentAt, now)) {
        LogLine(LogLevel::Warning, "own_link_lost").with("id", request.id()).with("upstream", upstream.id.value).with("end", attemptEndName(end)).with("ms", toMilliseconds(now - attempt.sentAt).count());
        return;
    }
    if (end == AttemptEnd::TimedOut) {
        traffic.recordSilence({ upstream.id, request.admitted.request.id, LateResponse { processName(upstream), releaseRoute(request, attempt), now } });
        return;
    }
    if (end != AttemptEnd::NotSent)
        traffic.recordBrokenResponse(processName(upstream), releaseRoute(request, attempt), now);
    if (end == AttemptEnd::Cut) {
        traffic.recordLostRequest({ processName(upstream), request.admitted.request.id, request.parts, attempt.sentAt }, now);
        traffic.crashes().recordCrash(request.admitted.fingerprint, UpstreamId { processName(upstream) }, now);
        LogLine(LogLevel::Warning, "upstream_connection_lost").with("id", request.id()).with("upstream", upstream.id.value).with("born", upstream.born).with("fingerprint", request.admitted.fingerprint).with("crashes", traffic.crashes().crashCount(request.admitted.fingerprint)).with("parts", loggedParts(request.admitted.request)).with("ms", toMilliseconds(now - attempt.sentAt).count()).with("first_event", attempt.firstEventSeen ? "yes" : "no").with("requests", traffic.balancer().requestsOn(upstream.id));
    }
    if (traffic.balancer().failed(upstream.id, now))
        LogLine(LogLevel::Warning, "upstream_ejected").with("id", request.id()).with("upstream", upstream.id.value).with("service", request.serviceName()).with("last_end", attemptEndName(end));
}

void recordUpstreamSuccess(RequestContext& request, const UpstreamAttempt& attempt)
{
    auto& traffic = request.traffic;
    const auto& upstream = attempt.upstream;
    traffic.balancer().succeeded(upstream.id);
    traffic.crashes().recordAlive(UpstreamId { processName(upstream) }, attempt.sentAt);
    traffic.recordAnswer(processName(upstream), attempt.sentAt);
}

bool mayBeFromOther(const UpstreamResponse& response, const UpstreamEntry& upstream)
{
    auto misdirection = misdirectionOf(response, upstream.id);
    return misdirection == Misdirection::Address || misdirection == Misdirection::Unknown;
}

void recordMisdirection(RequestContext& request, const UpstreamAttempt& attempt, const UpstreamResponse& response)
{
    const auto& upstream = attempt.upstream;
    auto misdirection = misdirectionOf(response, upstream.id);
    if (misdirection == Misdirection::Address) {
        request.traffic.endedIncarnations().end(upstream);
        return;
    }
    if (misdirection != Misdirection::None)
        ++request.misdirections;
    if (misdirection == Misdirection::Unknown)
        request.misdirectedBy.push_back(upstream);
    // One that names itself has kept its address.
    if (!response.notRun || misdirection == Misdirection::Request)
        request.traffic.doubts().accepted(processName(upstream), attempt.sentAt);
    if (response.notRun)
        return;
    for (const auto& it : std::exchange(request.misdirectedBy, {})) {
        if (request.traffic.doubts().record(processName(it), bootNow()))
            LogLine(LogLevel::Info, "upstream_doubted").with("id", request.id()).with("upstream", it.id.value).with("born", it.born).with("accepted_by", upstream.id.value);
    }
}

void recordWishes(RequestContext& request, const UpstreamEntry& upstream, const UpstreamResponse& response)
{
    auto& traffic = request.traffic;
    if (mayBeFromOther(response, upstream))
        return;
    if (response.isLeaving && !traffic.endedIncarnations().contains(upstream)) {
        traffic.endedIncarnations().end(upstream);
        LogLine(LogLevel::Info, "upstream_leaving").with("id", request.id()).with("upstream", upstream.id.value).with("born", upstream.born).with("status", response.status);
    }
    if (response.isPauseMalformed)
        LogLine(LogLevel::Warning, "retry_after_malformed").with("id", request.id()).with("upstream", upstream.id.value);
    if (response.pause && traffic.pauses().record(processName(upstream), *response.pause, bootNow()))
        LogLine(LogLevel::Info, "upstream_paused").with("id", request.id()).with("upstream", upstream.id.value).with("ms", response.pause->count());
}

void recordLimit(RequestContext& request, const UpstreamEntry& upstream, const UpstreamResponse& response)
{
    if (response.isLoadMalformed)
        LogLine(LogLevel::Warning, "upstream_load_malformed").with("id", request.id()).with("upstream", upstream.id.value);
    // What cannot be read neither states a limit nor ends one.
    if (response.isRequestLimitMalformed)
        LogLine(LogLevel::Warning, "upstream_limit_malformed").with("id", request.id()).with("upstream", upstream.id.value);
    else
        request.traffic.recordLimit(upstream, response, bootNow());
}

void recordStreamServed(RequestContext& request, const UpstreamAttempt& attempt, bool endedWithConnection)
{
    auto& traffic = request.traffic;
    if (request.parts.empty() || !attempt.firstEventSeen)
        return;
    if (endedWithConnection)
        spawn(traffic.loop(), settleEndOfConnection(traffic, { processName(attempt.upstream), request.admitted.request.id, request.parts, attempt.sentAt }), "settle_end_of_connection");
    else
        traffic.recordServedParts(request.parts, bootNow());
}

void recordOutlived(RequestContext& request, UpstreamAttempt& attempt, TimePoint now)
{
    request.traffic.recordRunning(processName(attempt.upstream), now - staleBytesTime);
    if (attempt.hasOutlived || now < attempt.firstEventAt + PromptPartGuard::outlivedTime)
        return;
    attempt.hasOutlived = true;
    request.traffic.recordServedParts(request.parts, now);
}

Awaitable<void> awaitCrashEvidence(RequestContext& request)
{
    if (!request.caller->hasDisconnected() && request.traffic.promptParts().isSuspected(request.parts))
        co_await sleepFor(request.traffic.loop(), std::min(crashEvidenceTime, request.timeLeft()));
}

}
