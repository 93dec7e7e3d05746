#pragma once

// Cuts the bytes of a text/event-stream into whole events, so that a stream that breaks in the middle of an event can
// be resumed elsewhere without a caller ever seeing the broken part.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkhitch {

class EventStream {
public:
    // What a piece of the stream added.
    struct Piece {
        // Whole events that are new, as they came.
        std::string bytes;
        std::int64_t events = 0;
    };

    // Events up to this one were delivered already; they are dropped if they come again.
    explicit EventStream(std::optional<std::int64_t> delivered = std::nullopt)
        : m_last(delivered)
    {
    }

    Piece feed(std::string_view bytes);
    // The stream goes on from another upstream: what was incomplete is dropped.
    void restart() { m_rest.clear(); }

    // Bytes of an event whose end has not come.
    bool hasPartialEvent() const { return !m_rest.empty(); }
    // Number of the last whole event.
    std::optional<std::int64_t> last() const { return m_last; }

private:
    std::string m_rest;
    std::optional<std::int64_t> m_last;
};

}
