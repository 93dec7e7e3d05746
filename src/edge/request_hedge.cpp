#include "edge/request_hedge.h"

#include "adapters/log.h"
#include "edge/upstream_evidence.h"
#include "edge/upstream_selection.h"

namespace skylarkhitch {

namespace {

    // Bytes that had arrived when a silence was noticed are read within this time.
    constexpr Milliseconds unreadInputTime { 20 };

}

RequestHedge::RequestHedge(RequestContext& request)
    : m_request(request)
    , m_hedgeChanged(request.traffic.loop())
    , m_silence(request.traffic.loop(), [this] { onSilence(); })
{
}

void RequestHedge::setCurrent(std::shared_ptr<UpstreamAttempt> attempt)
{
    m_current = std::move(attempt);
    m_isSilenceDeferred = false;
}

void RequestHedge::restartSilence(const UpstreamAttempt& attempt) { m_silence.set(silenceLimit(m_request, attempt)); }

void RequestHedge::eventReceived(const UpstreamAttempt& attempt)
{
    m_isSilenceDeferred = false;
    if (m_request.admitted.route->isRetryable())
        restartSilence(attempt);
}

void RequestHedge::onSilence()
{
    if (!m_current || m_current->hasEnded || !m_current->connection || m_hedge)
        return;
    // After a pause of the process, what the upstream sent meanwhile is read first.
    if (m_current->connection->hasUnreadInput() && !std::exchange(m_isSilenceDeferred, true)) {
        m_silence.set(unreadInputTime);
        return;
    }
    if (!mayTryAnother(m_request)) {
        m_silence.set(silenceLimit(m_request, *m_current));
        return;
    }
    if (!std::exchange(m_current->isSilenceRecorded, true))
        recordUpstreamFailure(m_request, *m_current, AttemptEnd::TimedOut);
    hedgeOrWait(AttemptEnd::TimedOut, m_request.model);
}

void RequestHedge::hedgeOrWait(AttemptEnd last, const std::optional<ModelId>& model)
{
    if (mustLeaveUpstream()) {
        m_current->connection->expire();
        return;
    }
    // While the links are lost, no other upstream can be asked.
    bool isLost = m_request.traffic.links().isLost();
    if (isLost || !reserveRetry(m_request, last, bootNow()) || !start(model))
        m_silence.set(silenceLimit(m_request, *m_current));
}

bool RequestHedge::mustLeaveUpstream()
{
    // An upstream that still responds is reached, whatever new connections show.
    if (!m_request.traffic.links().isLost() || !m_current->isSilenceRecorded)
        return false;
    // A stream that has begun would be reset if there were no peer to go on with it.
    return !m_request.caller->hasStartedResponse() || (!m_request.admitted.request.isRelayed && m_request.traffic.chooseRelay(m_request.triedPeers));
}

bool RequestHedge::start(const std::optional<ModelId>& model)
{
    auto now = bootNow();
    if (m_request.isProbe || m_request.traffic.promptParts().isHeldBack(m_request.parts))
        return false;
    const auto* upstream = chooseUpstream(m_request, model, now);
    if (!upstream)
        return false;
    m_hedge = std::make_shared<UpstreamAttempt>();
    m_hedge->upstream = *upstream;
    m_hedge->model = model;
    m_hedge->prompt = m_request.chosenPrompt;
    m_hedge->isHedge = true;
    LogLine(LogLevel::Info, "hedge_started").with("id", m_request.id()).with("upstream", upstream->id.value).with("current", m_current->upstream.id.value).with("current_ms", toMilliseconds(now - m_current->sentAt).count()).with("begun", m_request.caller->hasStartedResponse() ? "yes" : "no").with("ms_left", m_request.timeLeft().count());
    spawn(m_request.traffic.loop(), run(m_owner.lock(), m_hedge), "hedge");
    return true;
}

Awaitable<void> RequestHedge::run([[maybe_unused]] std::shared_ptr<void> owner, std::shared_ptr<UpstreamAttempt> attempt)
{
    auto end = co_await beginAttempt(m_request, *attempt, m_silence);
    bool hasWon = !end && !attempt->isSuperseded && canTakeOver(*attempt);
    const char* outcome = hasWon ? "took_over" : attemptEndName(end.value_or(AttemptEnd::UpstreamError));
    if (attempt->isSuperseded)
        outcome = "not_needed";
    LogLine(LogLevel::Info, "hedge_ended").with("id", m_request.id()).with("upstream", attempt->upstream.id.value).with("end", outcome).with("ms_left", m_request.timeLeft().count());
    if (hasWon) {
        auto& current = *m_current;
        m_silence.clear();
        attempt->connection->setDeadline(m_request.timeLeft());
        if (!current.hasEnded) {
            current.isSuperseded = true;
            if (current.connection)
                current.connection->close();
        }
        m_hedgeChanged.cancel();
        co_return;
    }
    if (!end) {
        attempt->connection->close();
        if (!attempt->isSuperseded) {
            m_request.traffic.countFailure(releaseRoute(m_request, *attempt));
            m_request.traffic.balancer().failed(attempt->upstream.id, bootNow());
        }
    }
    AttemptResult result { end.value_or(AttemptEnd::UpstreamError), false };
    recordEnd(m_request, *attempt, result);
    if (result.end == AttemptEnd::Cut)
        co_await awaitCrashEvidence(m_request);
    // It may have been dropped.
    if (m_hedge != attempt)
        co_return;
    m_hedge = nullptr;
    m_hedgeChanged.cancel();
    // If the current attempt has ended as well, serve() decides what follows.
    if (!m_current->hasEnded && !m_request.caller->hasDisconnected())
        hedgeOrWait(result.end, attempt->model);
}

bool RequestHedge::canTakeOver(const UpstreamAttempt& attempt) const
{
    // The caller already has the head of an event stream, so only the rest of one can follow.
    if (m_request.caller->hasStartedResponse())
        return attempt.response->isEventStream && attempt.response->status < 300;
    return !attempt.response->isFailure();
}

Awaitable<void> RequestHedge::awaitResponse()
{
    while (m_hedge && !m_hedge->response) {
        boost::system::error_code ec;
        m_hedgeChanged.expires_at(asio::steady_timer::time_point::max());
        co_await m_hedgeChanged.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

void RequestHedge::drop()
{
    if (!m_hedge)
        return;
    auto hedge = std::exchange(m_hedge, nullptr);
    hedge->isSuperseded = true;
    if (hedge->connection)
        hedge->connection->close();
    // One that has begun to respond waits for serve() to go on with it; any other ends in run().
    AttemptResult result { AttemptEnd::Dropped, false };
    if (hedge->response)
        recordEnd(m_request, *hedge, result);
}

void RequestHedge::closeConnections()
{
    for (const auto& it : { m_current, m_hedge }) {
        if (it && it->connection)
            it->connection->close();
    }
}

}
