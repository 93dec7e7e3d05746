#pragma once

// Messages between instances as HTTP/2 requests (nghttp2) over one TCP connection in each direction, served by one
// thread. Each frame carries a time, a growing number and a message authentication code over both and the receiver's
// name: a frame from a stranger, a damaged, oversize, old or replayed one is counted and dropped.

#include "ports/peer_link.h"

#include <functional>
#include <memory>

namespace skylarkhitch {

struct PeerTransportSettings {
    Incarnation self;
    // ip:port; port 0 takes a free one.
    std::string listen;
    std::string secret;
};

struct PeerTransportCounts {
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    // Frames that were not authentic, malformed, too old or replayed.
    std::uint64_t refused = 0;
    // Messages that were dropped because a peer did not take them.
    std::uint64_t dropped = 0;
};

class PeerTransport final : public PeerLink {
public:
    using Receiver = std::function<void(PeerEnvelope)>;

    PeerTransport(PeerTransportSettings, Receiver);
    ~PeerTransport() override;

    void send(const InstanceId&, const PeerEnvelope&) override;
    // Where an instance listens for peers.
    void setAddress(const InstanceId&, const std::string& address);
    int port() const;
    PeerTransportCounts counts() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
