#include "edge/peer_fallback.h"

#include "adapters/log.h"
#include "core/scheduling/retry_decision.h"

namespace skylarkhitch {

namespace {

    // Peers that a request is sent to in turn while they cannot be reached.
    constexpr std::size_t maxRelays = 3;
    // Pause before they are asked again.
    constexpr Milliseconds relayPause { 250 };

}

Awaitable<bool> PeerFallback::serve()
{
    while (!co_await askPeers()) {
        bool mayWait = m_request.caller->hasStartedResponse() && m_request.timeLeft() >= minUsefulTime && m_request.fitsBeforeExit(bootNow());
        if (!mayWait) {
            co_await m_outcome.respondWithError(m_request.timeLeft() < minUsefulTime ? ErrorKind::DeadlineExceeded : ErrorKind::NoHealthyUpstream);
            co_return true;
        }
        co_await sleepFor(m_request.traffic.loop(), std::min(relayPause, m_request.timeLeft()));
        if (m_request.caller->hasDisconnected()) {
            m_outcome.log("caller_left", 0);
            co_return true;
        }
        if (!m_request.traffic.links().isLost())
            co_return false;
    }
    co_return true;
}

Awaitable<bool> PeerFallback::askPeers()
{
    auto& traffic = m_request.traffic;
    std::set<InstanceId> asked;
    // A request that came from a peer does not go to another one, so that none goes round.
    while (!m_request.admitted.request.isRelayed && asked.size() < maxRelays && m_request.timeLeft() >= minUsefulTime && m_request.fitsBeforeExit(bootNow())) {
        auto peer = traffic.chooseRelay(asked);
        if (!peer)
            break;
        asked.insert(peer->id);
        m_request.triedPeers.insert(peer->id);
        LogLine(LogLevel::Info, "request_relayed").with("id", m_request.id()).with("peer", peer->id.value).with("cause", "links_lost").with("ms_left", m_request.timeLeft().count()).with("relays", static_cast<std::int64_t>(m_request.triedPeers.size()));
        m_relay.emplace(traffic, m_request.caller, m_request.received, m_request.events);
        // The rest of a stream comes from the model of its beginning; otherwise the peer chooses.
        auto model = m_request.caller->hasStartedResponse() ? m_request.model : std::nullopt;
        RelayTerms terms { .timeLeft = m_request.timeLeft(), .lastEvent = m_request.events.last(), .model = model, .mayHaveRun = m_request.execution.executed() != Executed::No, .mayRunAgain = m_request.admitted.route->isRetryable() };
        auto end = co_await m_relay->sendTo(*peer, terms);
        m_outcome.setFirstByteAt(m_relay->firstByteAt());
        if (m_request.caller->hasDisconnected() || end == RequestRelay::End::Answered) {
            m_request.isAnswered = !m_request.caller->hasDisconnected();
            m_outcome.log(m_request.caller->hasDisconnected() ? "caller_left" : m_relay->status() < 500 ? "none"
                                                                                                        : "upstream_error",
                m_relay->status());
            co_return true;
        }
        LogLine(LogLevel::Info, "relay_failed").with("id", m_request.id()).with("peer", peer->id.value).with("end", relayEndName(end)).with("status", m_relay->status()).with("ms_left", m_request.timeLeft().count());
        bool mayHaveRun = end != RequestRelay::End::NotSent && end != RequestRelay::End::Refused;
        if (mayHaveRun) {
            m_request.execution.attemptSent();
            m_request.execution.attemptEnded(end == RequestRelay::End::Failed ? AttemptEnd::UpstreamError : AttemptEnd::Cut);
        }
        bool isRefusedForNow = end == RequestRelay::End::Refused && m_relay->status() == errorInfo(ErrorKind::NoHealthyUpstream).httpStatus;
        bool mayRepeat = end == RequestRelay::End::Failed && m_request.admitted.route->isRetryable();
        if (end == RequestRelay::End::NotSent || isRefusedForNow || mayRepeat)
            continue;
        auto error = end == RequestRelay::End::TimedOut ? ErrorKind::DeadlineExceeded : ErrorKind::UpstreamFailed;
        co_await m_outcome.respondWithError(traffic.isExiting(bootNow()) ? ErrorKind::InstanceDraining : error);
        co_return true;
    }
    co_return false;
}

void PeerFallback::close()
{
    if (m_relay)
        m_relay->close();
}

}
