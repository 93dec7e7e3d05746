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
        // Number of events in `bytes`.
        std::int64_t events = 0;
    };

    // Events with an `id` of at most `delivered` were already sent to the caller and are dropped if received again.
    explicit EventStreamParser(std::optional<std::int64_t> delivered = std::nullopt)
        : m_lastEvent(delivered)
    {
    }

    // Appends received bytes and returns the events that are complete now.
    Chunk feed(std::string_view bytes);
    // The stream continues from another upstream: discards the incomplete event.
    void restart() { m_incomplete.clear(); }

    // Whether the stream currently ends within an event.
    bool hasPartialEvent() const { return !m_incomplete.empty(); }
    // `id` of the last complete event that has one; initially `delivered`.
    std::optional<std::int64_t> last() const { return m_lastEvent; }

private:
    std::string m_incomplete;
    std::optional<std::int64_t> m_lastEvent;
};

}
