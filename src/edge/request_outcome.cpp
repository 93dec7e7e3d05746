#include "edge/request_outcome.h"

#include "adapters/log.h"
#include "core/scheduling/retry_decision.h"

#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // Retry-After is at least this, and at most the wait that the caller allows; callers ignore a longer one.
    constexpr Milliseconds minRetryAfter { 50 };

}

EdgeResponse toCallerResponse(UpstreamResponse response, std::string body)
{
    return { response.status, std::move(response.reason), std::move(response.forwardedHeaders), std::move(body) };
}

void RequestOutcome::logFailedAttempt(const UpstreamAttempt& attempt, AttemptEnd end, bool isRetried) const
{
    if (end == AttemptEnd::Dropped && !attempt.isWithdrawn)
        return;
    LogLine(LogLevel::Info, "attempt_failed").with("id", m_request.id()).with("upstream", attempt.upstream.id.value).with("end", attemptEndName(end)).with("workload_before", attempt.workBefore).with("attempts_left", m_request.admitted.route->maxAttempts - m_request.possibleRuns).with("ms_left", m_request.timeLeft().count()).with("retried", isRetried ? "yes" : "no");
}

void RequestOutcome::recordFirstByte(TimePoint now)
{
    m_firstByteAt = now;
    m_request.traffic.metrics().firstByte(m_request.admitted.team.value_or(TeamId {}), m_request.admitted.rank, now - m_request.received.receivedAt);
}

void RequestOutcome::count(std::string_view error)
{
    if (!std::exchange(m_isCounted, true))
        m_request.traffic.metrics().requestEnded(m_request.admitted.team.value_or(TeamId {}), m_request.admitted.rank, std::string(error), bootNow() - m_request.received.receivedAt);
}

void RequestOutcome::log(std::string_view error, int status)
{
    auto& traffic = m_request.traffic;
    count(error);
    auto now = bootNow();
    LogLine line(error == "none" || error == "caller_left" ? LogLevel::Info : LogLevel::Warning, "request");
    line.with("id", m_request.id()).with("status", status).with("error", error).with("route", m_request.admitted.route ? m_request.admitted.route->name : "").with("team", m_request.admitted.team ? m_request.admitted.team->value : "");
    line.with("service", m_request.serviceName()).with("upstream", m_request.triedUpstreams.empty() ? "" : m_request.triedUpstreams.back().value).with("upstreams_tried", static_cast<std::int64_t>(m_request.triedUpstreams.size()));
    line.with("attempts_delivered", m_request.deliveredAttempts).with("ran", m_request.execution.executed() == Executed::No ? "no" : "maybe").with("ms", toMilliseconds(now - m_request.received.receivedAt).count());
    if (!m_request.triedPeers.empty())
        line.with("relays", static_cast<std::int64_t>(m_request.triedPeers.size()));
    line.with("idle_ms", m_request.received.idleTime.count()).with("connection", connectionEndName(m_request.caller->end()));
    if (m_firstByteAt)
        line.with("first_byte_ms", toMilliseconds(*m_firstByteAt - m_request.received.receivedAt).count());
    if (m_request.model)
        line.with("model", m_request.model->value);
    if (const auto* part = traffic.promptParts().quarantinedPart(m_request.parts))
        line.with("part", *part).with("crashes", traffic.promptParts().crashesOf(*part));
    if (error == errorInfo(ErrorKind::RequestQuarantined).name)
        line.with("fingerprint", m_request.admitted.fingerprint).with("crashes", traffic.crashes().crashCount(m_request.admitted.fingerprint)).with("known_from", traffic.crashes().isOnlyRecorded(m_request.admitted.fingerprint) ? "store" : "crashes");
    if (m_request.admitted.configuration)
        line.with("configuration", m_request.admitted.configuration->version).with("view_age_ms", toMilliseconds(now - m_request.view->upToDateAt).count());
}

Awaitable<void> RequestOutcome::respondWithError(ErrorKind kind)
{
    const auto& row = errorInfo(kind);
    if (m_request.caller->hasStartedResponse()) {
        m_request.caller->abort();
        log(row.name, 0);
        co_return;
    }
    if (m_savedError) {
        auto response = *std::exchange(m_savedError, std::nullopt);
        log("upstream_error", response.status);
        co_await m_request.caller->respond(std::move(response));
        co_return;
    }
    auto executed = m_request.execution.executed();
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
    log(row.name, response.status);
    co_await m_request.caller->respond(std::move(response));
}

ErrorKind RequestOutcome::noUpstreamError() const
{
    if (m_request.pausedFor)
        return ErrorKind::UpstreamsPaused;
    return m_request.limitedFor ? ErrorKind::UpstreamLimitReached : ErrorKind::NoHealthyUpstream;
}

ErrorKind RequestOutcome::errorFor(AttemptEnd end) const
{
    auto now = bootNow();
    bool isKeptBack = m_request.execution.executed() == Executed::No && !m_request.fitsBeforeExit(now);
    if (m_request.traffic.isExiting(now) || isKeptBack)
        return ErrorKind::InstanceDraining;
    if (m_request.timeLeft() < minUsefulTime)
        return ErrorKind::DeadlineExceeded;
    if (end == AttemptEnd::Dropped && m_request.traffic.promptParts().quarantinedPart(m_request.parts))
        return ErrorKind::PromptPartQuarantined;
    if (end == AttemptEnd::NotSent)
        return ErrorKind::NoHealthyUpstream;
    if (end == AttemptEnd::RefusedNotRun && m_request.misdirections == m_request.deliveredAttempts)
        return ErrorKind::MisdirectedRequest;
    if (end == AttemptEnd::RefusedNotRun)
        return m_request.pausedFor ? ErrorKind::UpstreamsPaused : ErrorKind::Overloaded;
    return ErrorKind::UpstreamFailed;
}

Milliseconds RequestOutcome::retryAfter(const ErrorInfo& error) const
{
    auto time = error.retryAfter;
    if (error.kind == ErrorKind::UpstreamLimitReached)
        time = m_request.limitedFor.value_or(time);
    if (error.kind == ErrorKind::UpstreamsPaused)
        time = m_request.pausedFor.value_or(time);
    return std::max(minRetryAfter, std::min(time, m_request.allowedWait()));
}

}
