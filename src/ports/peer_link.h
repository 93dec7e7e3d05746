#pragma once

// Carries messages to other instances. A message may be lost, doubled by a resend of the core or late; it is never
// damaged, and never from a stranger.

#include "core/membership/peer_message.h"

namespace skylarkhitch {

class PeerLink {
public:
    virtual ~PeerLink() = default;
    virtual void send(const InstanceId&, const PeerEnvelope&) = 0;
};

}
