#include "adapters/peer_frame.h"

#include "adapters/digest.h"

namespace skylarkhitch {

namespace {

    constexpr std::size_t wordBytes = 8;
    constexpr std::size_t macBytes = 32;
    constexpr std::size_t headerBytes = 2 * wordBytes + macBytes;
    constexpr Seconds maxTimeDifference { 30 };

    void appendWord(std::string& bytes, std::uint64_t word)
    {
        for (int shift = 56; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<char>(word >> shift));
    }

    std::uint64_t wordAt(const std::string& bytes, std::size_t at)
    {
        std::uint64_t word = 0;
        for (std::size_t n = 0; n < wordBytes; ++n)
            word = word << 8 | static_cast<unsigned char>(bytes[at + n]);
        return word;
    }

    std::string computeMac(const std::string& secret, const InstanceId& receiver, std::string_view words, std::string_view payload)
    {
        std::string message = receiver.value;
        message.push_back('\0');
        message.append(words);
        message.append(payload);
        return hmacSha256(secret, message);
    }

}

std::string FrameEncoder::encode(const InstanceId& receiver, const PeerEnvelope& envelope, TimePoint now)
{
    std::string words;
    appendWord(words, static_cast<std::uint64_t>(now.time_since_epoch().count()));
    appendWord(words, ++m_sequence);
    auto payload = encodeEnvelope(envelope);
    return words + computeMac(m_secret, receiver, words, payload) + payload;
}

std::optional<PeerEnvelope> FrameDecoder::decode(const std::string& frame, TimePoint now)
{
    if (frame.size() < headerBytes)
        return std::nullopt;
    std::string_view view(frame);
    auto words = view.substr(0, 2 * wordBytes);
    auto payload = view.substr(headerBytes);
    if (!equalInConstantTime(view.substr(2 * wordBytes, macBytes), computeMac(m_secret, m_self, words, payload)))
        return std::nullopt;
    TimePoint sentAt { Microseconds { static_cast<std::int64_t>(wordAt(frame, 0)) } };
    if (sentAt < now - maxTimeDifference || sentAt > now + maxTimeDifference)
        return std::nullopt;
    auto envelope = decodeEnvelope(std::string(payload));
    if (!envelope)
        return std::nullopt;
    auto& lastAccepted = m_lastAccepted[envelope->from.instance];
    auto sequence = wordAt(frame, wordBytes);
    bool isNewer = envelope->from.number > lastAccepted.incarnation || (envelope->from.number == lastAccepted.incarnation && sequence > lastAccepted.sequence);
    if (!isNewer)
        return std::nullopt;
    lastAccepted = { envelope->from.number, sequence };
    return envelope;
}

}
