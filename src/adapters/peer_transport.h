#pragma once

// Sends messages between instances as HTTP/2 requests (nghttp2) over one TCP connection in each direction, handled by one
// thread. Each request carries one frame (see peer_frame.h). Frames that FrameDecoder rejects are counted and dropped; the
// stream of an oversize frame is reset.

#include "ports/peer_link.h"

#include <functional>
#include <memory>

namespace skylarkhitch {

struct PeerTransportSettings {
    Incarnation self;
    // ip:port; port 0 selects a free port.
    std::string listen;
    std::string secret;
};

struct PeerTransportCounts {
    // Messages queued for sending, including those dropped later, and the size of their frames.
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    // Frames accepted.
    std::uint64_t received = 0;
    // Frames that FrameDecoder rejected: malformed, not authentic, with a time too far from now, replayed or out of order.
    std::uint64_t refused = 0;
    // Messages dropped because the queue of their peer was full.
    std::uint64_t dropped = 0;
};

class PeerTransport final : public PeerLink {
public:
    // Receives the accepted messages, on the transport's thread.
    using Receiver = std::function<void(PeerEnvelope)>;

    // Starts listening. Throws UsageError if that fails.
    PeerTransport(PeerTransportSettings, Receiver);
    ~PeerTransport() override;

    // Queues the message and returns at once. Messages to an instance whose address is not set wait in the queue.
    void send(const InstanceId&, const PeerEnvelope&) override;
    // Sets the ip:port on which an instance listens for peers. If it changes, the connection to the instance is reopened. Messages
    // to an instance whose address is not of that form wait in the queue.
    void setAddress(const InstanceId&, const std::string& address);
    // Returns the port that this instance listens on.
    int port() const;
    PeerTransportCounts counts() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
