#pragma once

// Sends messages between instances as HTTP/2 requests (nghttp2) over one TCP connection in each direction, handled by one
// thread. Each frame carries a time, a sequence number and a message authentication code over these, the receiver's name
// and the message. Frames that are not authentic, corrupted, too old or replayed are counted and dropped; the stream of an
// oversize frame is reset.

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
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    // Frames rejected because they were not authentic, malformed, too old or replayed.
    std::uint64_t refused = 0;
    // Messages dropped because the queue of their peer was full.
    std::uint64_t dropped = 0;
};

class PeerTransport final : public PeerLink {
public:
    using Receiver = std::function<void(PeerEnvelope)>;

    PeerTransport(PeerTransportSettings, Receiver);
    ~PeerTransport() override;

    void send(const InstanceId&, const PeerEnvelope&) override;
    // Sets the address on which an instance listens for peers.
    void setAddress(const InstanceId&, const std::string& address);
    int port() const;
    PeerTransportCounts counts() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
