#pragma once

// Splits the bytes of a text/event-stream into complete events, so that a stream interrupted within an event can be
// resumed from another upstream without the caller receiving the incomplete event.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace skylarkhitch {

class EventStreamParser {
public:
    // Limit of an incomplete event, with the comments before it.
    static constexpr std::size_t maxEventBytes = std::size_t { 256 } * 1024;

    // Output of one call to feed().
    struct Chunk {
        // Complete new events, unmodified, with the comments before them.
        std::string bytes;
        // Number of events in `bytes`. Comments are not events.
        std::int64_t events = 0;
        // The incomplete event is longer than allowed.
        bool isTooLong = false;
    };

    // Events with an `id` of at most `delivered` were already sent to the caller and are dropped if received again.
    explicit EventStreamParser(std::optional<std::int64_t> delivered = std::nullopt)
        : m_lastEvent(delivered)
    {
    }

    // Appends received bytes and returns the events that are complete now.
    Chunk feed(std::string_view bytes);
    // The stream continues from another upstream: discards the incomplete event and the comments before it.
    void restart();
    // Removes and returns the comments after the last event.
    std::string takeComments() { return std::exchange(m_comments, {}); }

    // Bytes of the incomplete event and of the comments before it.
    std::size_t bufferedBytes() const { return m_incomplete.size() + m_comments.size(); }
    // Whether the stream currently ends within an event; comments do not count.
    bool hasPartialEvent() const { return !m_incomplete.empty(); }
    // `id` of the last complete event that has one; initially `delivered`.
    std::optional<std::int64_t> last() const { return m_lastEvent; }

private:
    // Adds a complete event to the output unless it was already delivered.
    void addEvent(std::string_view event, Chunk&);

    std::string m_incomplete;
    // Comments that go to the caller with the next event.
    std::string m_comments;
    std::optional<std::int64_t> m_lastEvent;
};

}
