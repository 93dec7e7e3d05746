#pragma once

// Splits the bytes of a text/event-stream into complete events, so that a stream interrupted within an event can be
// resumed from another upstream without the caller receiving the incomplete event.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkhitch {

class EventStreamParser {
public:
    // Output of one call to feed().
    struct Chunk {
        // Complete new events, unmodified.
        std::string bytes;
        std::int64_t events = 0;
    };

    // Events numbered up to `delivered` were already delivered and are dropped if received again.
    explicit EventStreamParser(std::optional<std::int64_t> delivered = std::nullopt)
        : m_lastEvent(delivered)
    {
    }

    Chunk feed(std::string_view bytes);
    // The stream continues from another upstream: discards the incomplete event.
    void restart() { m_incomplete.clear(); }

    // Whether the stream currently ends within an event.
    bool hasPartialEvent() const { return !m_incomplete.empty(); }
    // Number of the last complete event.
    std::optional<std::int64_t> last() const { return m_lastEvent; }

private:
    std::string m_incomplete;
    std::optional<std::int64_t> m_lastEvent;
};

}
