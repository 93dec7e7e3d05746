#pragma once

// Interface for sending messages to other instances. A message may be lost, delayed, or duplicated when the core resends
// it. Received messages are authenticated: they are never corrupted and never come from outside the fleet.

#include "core/membership/peer_message.h"

namespace skylarkhitch {

class PeerLink {
public:
    virtual ~PeerLink() = default;
    virtual void send(const InstanceId&, const PeerEnvelope&) = 0;
};

}
