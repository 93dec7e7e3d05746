#pragma once

// The authenticated frame around a message between instances.

#include "core/membership/peer_message.h"

#include <map>

namespace skylarkhitch {

// Writes frames with this instance's growing number.
class FrameSealer {
public:
    FrameSealer(Incarnation self, std::string secret)
        : m_self(std::move(self))
        , m_secret(std::move(secret))
    {
    }
    std::string seal(const InstanceId& receiver, const PeerEnvelope&, TimePoint now);

private:
    Incarnation m_self;
    std::string m_secret;
    std::uint64_t m_number = 0;
};

// Opens frames meant for this instance.
class FrameOpener {
public:
    FrameOpener(InstanceId self, std::string secret)
        : m_self(std::move(self))
        , m_secret(std::move(secret))
    {
    }
    // Nothing if the frame is not authentic, not whole, more than 30 s old or was opened before.
    std::optional<PeerEnvelope> open(const std::string& frame, TimePoint now);

private:
    InstanceId m_self;
    std::string m_secret;
    // The newest life and the highest number seen of each sender.
    struct Seen {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
    };
    std::map<InstanceId, Seen> m_seen;
};

}
