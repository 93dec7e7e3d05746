#pragma once

// Encoding of messages between instances in authenticated frames. A frame consists of the time of encoding, a sequence
// number, a message authentication code and the message. The code is an HMAC-SHA-256 over the receiver's instance id, the
// time, the sequence number and the message.

#include "core/membership/peer_message.h"

#include <map>

namespace skylarkhitch {

// Encodes frames with increasing sequence numbers.
class FrameEncoder {
public:
    FrameEncoder(Incarnation self, std::string secret)
        : m_self(std::move(self))
        , m_secret(std::move(secret))
    {
    }
    std::string encode(const InstanceId& receiver, const PeerEnvelope&, TimePoint now);

private:
    Incarnation m_self;
    std::string m_secret;
    std::uint64_t m_sequence = 0;
};

// Verifies and decodes frames addressed to this instance.
class FrameDecoder {
public:
    FrameDecoder(InstanceId self, std::string secret)
        : m_self(std::move(self))
        , m_secret(std::move(secret))
    {
    }
    // Returns nullopt if the frame is malformed or not authentic, if its time differs by more than 30 s from now, or if it is
    // replayed or out of order: sent by an earlier incarnation of the sender than the last accepted frame, or by the same one
    // with a sequence number that is not higher.
    std::optional<PeerEnvelope> decode(const std::string& frame, TimePoint now);

private:
    InstanceId m_self;
    std::string m_secret;
    // Incarnation number and sequence number of the last frame accepted from each sender.
    struct LastAccepted {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };
    std::map<InstanceId, LastAccepted> m_lastAccepted;
};

}
