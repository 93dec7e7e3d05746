#include "core/requests/event_stream_parser.h"

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

namespace skylarkhitch {

namespace {

    // Returns the value of the event's "id" field; nullopt if there is none or it is not an integer.
    std::optional<std::int64_t> eventNumber(std::string_view event)
    {
        for (std::size_t start = 0; start < event.size();) {
            auto end = event.find('\n', start);
            auto line = event.substr(start, end - start);
            if (line.substr(0, 3) == "id:") {
                std::int64_t n = 0;
                auto text = line.substr(3);
                return absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &n) ? std::optional(n) : std::nullopt;
            }
            start = end == std::string_view::npos ? event.size() : end + 1;
        }
        return std::nullopt;
    }

    // Length of the first event including the blank line that terminates it, or 0 if it is incomplete.
    std::size_t firstEventLength(std::string_view bytes)
    {
        auto lf = bytes.find("\n\n");
        auto crlf = bytes.find("\r\n\r\n");
        if (crlf < lf)
            return crlf + 4;
        return lf == std::string_view::npos ? 0 : lf + 2;
    }

}

EventStreamParser::Chunk EventStreamParser::feed(std::string_view bytes)
{
    m_incomplete.append(bytes);
    Chunk chunk;
    std::size_t start = 0;
    for (;;) {
        auto remaining = std::string_view(m_incomplete).substr(start);
        auto n = firstEventLength(remaining);
        if (n == 0)
            break;
        start += n;
        auto number = eventNumber(remaining.substr(0, n));
        if (number && m_lastEvent && *number <= *m_lastEvent)
            continue;
        if (number)
            m_lastEvent = number;
        chunk.bytes.append(remaining.substr(0, n));
        ++chunk.events;
    }
    m_incomplete.erase(0, start);
    return chunk;
}

}
