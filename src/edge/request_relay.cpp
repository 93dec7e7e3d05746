#include "edge/request_relay.h"

#include "adapters/log.h"
#include "core/requests/execution_tracker.h"
#include "platform/request_codec.h"

namespace skylarkhitch {

namespace {

    // A live peer accepts a connection within a few milliseconds.
    constexpr Milliseconds connectTimeout { 200 };
    // The peer reaches no upstream itself, has no configuration, or is about to stop.
    constexpr int serviceUnavailable = 503;
    // As for the responses of upstreams, which peers pass on unchanged.
    constexpr std::size_t maxBufferedBytes = std::size_t { 8 } << 20;

}

const char* relayEndName(RequestRelay::End end)
{
    constexpr const char* names[] = { "answered", "refused", "failed", "not_sent", "lost", "timed_out" };
    return names[static_cast<int>(end)];
}

RequestRelay::RequestRelay(TrafficState& traffic, std::shared_ptr<CallerConnection> caller, const ReceivedRequest& received, EventStreamParser& events)
    : m_traffic(traffic)
    , m_caller(std::move(caller))
    , m_received(received)
    , m_events(events)
{
}

void RequestRelay::close()
{
    if (m_connection)
        m_connection->close();
}

Awaitable<RequestRelay::End> RequestRelay::sendTo(RelayCandidate peer, RelayTerms terms)
{
    m_connection = m_traffic.connections().create();
    m_traffic.relays().begun(peer.id);
    auto end = End::Lost;
    try {
        end = co_await exchange(peer, terms);
    } catch (const std::exception& e) {
        // The request may have run, as after a lost connection.
        LogLine(LogLevel::Error, "relay_error").with("peer", peer.id.value).with("error", e.what());
    }
    m_traffic.relays().ended(peer.id);
    m_connection->close();
    co_return end;
}

Awaitable<RequestRelay::End> RequestRelay::exchange(const RelayCandidate& peer, const RelayTerms& terms)
{
    if (!co_await m_connection->open(peer.address, std::min(connectTimeout, terms.timeLeft)))
        co_return End::NotSent;
    m_connection->setDeadline(terms.timeLeft);
    auto head = platform::encodeRelayedHead(m_received.method, m_received.target, m_received.fields, m_received.body ? m_received.body->size() : 0, { m_traffic.settings().instance, terms.timeLeft, terms.lastEvent, terms.model });
    if (!co_await m_connection->send(std::move(head), m_received.body))
        co_return End::NotSent;
    ResponseHead responseHead;
    if (auto end = co_await m_connection->readHead(responseHead); end != TransferEnd::Ok)
        co_return endOf(end);
    m_status = responseHead.status;
    auto response = platform::decodeResponse(responseHead.status, std::move(responseHead.reason), responseHead.fields);
    if (auto end = endWithout(response, terms))
        co_return *end;
    bool isStream = response.isEventStream && response.status < 300;
    EdgeResponse callerHead { response.status, std::move(response.reason), std::move(response.forwardedHeaders), {} };
    if (isStream)
        co_return co_await relayStream(std::move(callerHead));
    co_return co_await relayBuffered(std::move(callerHead));
}

std::optional<RequestRelay::End> RequestRelay::endWithout(const UpstreamResponse& response, const RelayTerms& terms) const
{
    // Peers of an earlier build pass on any failure of an upstream, and the peer's own refusals have none of its fields.
    if (!response.isFromUpstream) {
        bool isRefused = m_status == serviceUnavailable || (terms.mayHaveRun && impliesNotRun(m_status));
        return isRefused ? std::optional(End::Refused) : std::nullopt;
    }
    bool isUnusable = m_caller->hasStartedResponse() && response.isFailure();
    return isUnusable || !response.isTrueForCaller(terms.mayRunAgain) ? std::optional(End::Failed) : std::nullopt;
}

Awaitable<RequestRelay::End> RequestRelay::relayBuffered(EdgeResponse head)
{
    BodyMemory::Share memory(m_traffic.bodyMemory());
    auto body = co_await m_connection->readWholeBody(maxBufferedBytes, std::nullopt, &memory);
    // The caller already has the head of an event stream, so this response cannot be sent.
    if (body.end != TransferEnd::Ok || m_caller->hasStartedResponse())
        co_return endOf(body.end);
    head.body = std::move(body.bytes);
    m_firstByteAt = bootNow();
    co_await m_caller->respond(std::move(head));
    co_return End::Answered;
}

Awaitable<RequestRelay::End> RequestRelay::relayStream(EdgeResponse responseHead)
{
    m_events.restart();
    BodyMemory::Share memory(m_traffic.bodyMemory());
    auto head = m_caller->hasStartedResponse() ? std::nullopt : std::optional(std::move(responseHead));
    for (;;) {
        auto piece = co_await m_connection->readBody();
        auto events = m_events.feed(piece.bytes);
        if (events.isTooLong || !memory.set(m_events.bufferedBytes()))
            co_return End::Lost;
        bool isComplete = piece.isLast && !m_events.hasPartialEvent();
        if (isComplete)
            events.bytes += m_events.takeComments();
        if (head && (events.events > 0 || isComplete)) {
            m_firstByteAt = bootNow();
            auto begun = *std::exchange(head, std::nullopt);
            co_await m_caller->beginBody(std::move(begun));
        }
        co_await m_caller->writeBody(events.bytes);
        if (isComplete) {
            co_await m_caller->endBody();
            co_return End::Answered;
        }
        if (piece.end != TransferEnd::Ok || piece.isLast)
            co_return endOf(piece.end);
    }
}

}
