#include "core/requests/event_stream_parser.h"

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    // The longest blank line, CR LF CR LF.
    constexpr std::size_t maxBlankLineBytes = 4;

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

    // Length of the first event including the blank line that terminates it, or 0 if it is incomplete. No event ends before the
    // given position.
    std::size_t firstEventLength(std::string_view bytes, std::size_t from)
    {
        auto lf = bytes.find("\n\n", from);
        // Only in the bytes where it would begin before the other kind of blank line.
        auto crlf = bytes.substr(0, lf == std::string_view::npos ? lf : lf + maxBlankLineBytes - 1).find("\r\n\r\n", from);
        if (crlf != std::string_view::npos)
            return crlf + maxBlankLineBytes;
        return lf == std::string_view::npos ? 0 : lf + 2;
    }

    // Whether a block up to a blank line consists of comments and line ends only.
    bool isComment(std::string_view block)
    {
        for (std::size_t start = 0; start < block.size(); start = block.find('\n', start) + 1) {
            if (block[start] != ':' && block[start] != '\r' && block[start] != '\n')
                return false;
        }
        return true;
    }

}

EventStreamParser::Chunk EventStreamParser::feed(std::string_view bytes)
{
    // A blank line may have begun in the bytes received before.
    auto from = m_incomplete.size() - std::min(m_incomplete.size(), maxBlankLineBytes - 1);
    m_incomplete.append(bytes);
    Chunk chunk;
    std::size_t start = 0;
    for (;;) {
        auto remaining = std::string_view(m_incomplete).substr(start);
        auto n = firstEventLength(remaining, from);
        if (n == 0)
            break;
        start += n;
        from = 0;
        auto block = remaining.substr(0, n);
        if (isComment(block))
            m_comments.append(block);
        else
            addEvent(block, chunk);
    }
    m_incomplete.erase(0, start);
    chunk.isTooLong = bufferedBytes() > maxEventBytes;
    return chunk;
}

void EventStreamParser::addEvent(std::string_view event, Chunk& chunk)
{
    auto number = eventNumber(event);
    auto comments = takeComments();
    if (number && m_lastEvent && *number <= *m_lastEvent)
        return;
    if (number)
        m_lastEvent = number;
    chunk.bytes.append(comments).append(event);
    ++chunk.events;
}

void EventStreamParser::restart()
{
    m_incomplete.clear();
    m_comments.clear();
}

}
