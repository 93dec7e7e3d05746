#include "edge/request_reader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/string_view.h>
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <limits>

namespace skylarkhitch {

namespace {

    namespace http = boost::beast::http;

    constexpr int badRequest = 400;
    constexpr int bodyTooLarge = 413;
    constexpr int headTooLarge = 431;
    constexpr std::string_view headTerminator = "\r\n\r\n";
    // A chunked body above the first size is taken for a long one, for which up to the second size is reserved. What is reserved but not
    // written takes no memory.
    constexpr std::size_t longBodyBytes = std::size_t { 64 } * 1024;
    constexpr std::size_t maxReservedBytes = std::size_t { 8 } << 20;

    // Whether every line ends in CR LF, no line is folded (starts with whitespace), and no header field has whitespace before
    // its colon. An incomplete last line may only have a CR as its last byte.
    bool hasStrictLines(std::string_view head)
    {
        bool isFirst = true;
        for (std::size_t start = 0; start < head.size();) {
            auto end = head.find('\n', start);
            if (end == std::string_view::npos)
                return head.find('\r', start) == std::string_view::npos || head.find('\r', start) == head.size() - 1;
            if (end == start || head[end - 1] != '\r')
                return false;
            auto line = head.substr(start, end - start - 1);
            if (line.find('\r') != std::string_view::npos)
                return false;
            bool isFolded = !line.empty() && (line.front() == ' ' || line.front() == '\t');
            auto colon = line.find(':');
            bool hasSpaceBeforeColon = !isFirst && colon != std::string_view::npos && colon > 0 && (line[colon - 1] == ' ' || line[colon - 1] == '\t');
            if (isFolded || hasSpaceBeforeColon)
                return false;
            isFirst = line.empty() && isFirst;
            start = end + 1;
        }
        return true;
    }

}

RequestReader::RequestReader(std::size_t maxHeadBytes, std::size_t maxBodyBytes)
    : m_maxHeadBytes(maxHeadBytes)
    , m_maxBodyBytes(maxBodyBytes)
{
    m_parser.eager(true);
    // The parser's own limit has 32 bits.
    m_parser.header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(maxHeadBytes + headTerminator.size(), std::numeric_limits<std::uint32_t>::max())));
    m_parser.body_limit(maxBodyBytes);
}

void RequestReader::skipEmptyLines(std::string& input)
{
    std::size_t n = 0;
    while (input.compare(n, 2, "\r\n") == 0)
        n += 2;
    input.erase(0, n);
}

RequestReader::State RequestReader::feed(std::string& input)
{
    if (m_state == State::NeedsHead)
        parseHead(input);
    if (m_state == State::NeedsBody)
        parseBody(input);
    return m_state;
}

RequestReader::State RequestReader::fail(int status)
{
    m_errorStatus = status;
    return m_state = State::Failed;
}

RequestReader::State RequestReader::parseHead(std::string& input)
{
    skipEmptyLines(input);
    auto end = input.find(headTerminator);
    auto head = std::string_view(input).substr(0, end == std::string::npos ? input.size() : end + headTerminator.size());
    if (!hasStrictLines(head))
        return fail(badRequest);
    if (head.size() > m_maxHeadBytes)
        return fail(headTooLarge);
    if (end == std::string::npos)
        return m_state;
    boost::system::error_code ec;
    auto size = head.size();
    m_parser.put(boost::asio::buffer(input.data(), size), ec);
    if (ec == http::error::header_limit)
        return fail(headTooLarge);
    if (ec == http::error::body_limit)
        return fail(bodyTooLarge);
    if ((ec && ec != http::error::need_more) || !m_parser.is_header_done() || !hasUnambiguousFraming())
        return fail(badRequest);
    input.erase(0, size);
    return m_state = m_parser.is_done() ? State::Done : State::NeedsBody;
}

RequestReader::State RequestReader::parseBody(std::string& input)
{
    std::size_t n = 1;
    while (n > 0 && !input.empty() && !m_parser.is_done()) {
        reserveBody();
        boost::system::error_code ec;
        n = m_parser.put(boost::asio::buffer(input), ec);
        input.erase(0, n);
        if (ec == http::error::body_limit)
            return fail(bodyTooLarge);
        if (ec && ec != http::error::need_more)
            return fail(badRequest);
    }
    if (m_parser.is_done())
        return m_state = State::Done;
    // The parser takes a chunk line, or all trailers, only as a whole.
    return input.size() > maxChunkLineBytes ? fail(badRequest) : m_state;
}

void RequestReader::reserveBody()
{
    auto& body = m_parser.get().body();
    if (m_parser.chunked() && body.size() > longBodyBytes)
        body.reserve(std::min(m_maxBodyBytes, maxReservedBytes));
}

std::size_t RequestReader::bodyBytes() const
{
    if (!m_parser.is_header_done())
        return 0;
    auto stated = m_parser.content_length();
    return stated ? static_cast<std::size_t>(*stated) : m_parser.get().body().size();
}

bool RequestReader::hasUnambiguousFraming() const
{
    const auto& message = m_parser.get();
    auto lengths = message.count(http::field::content_length);
    auto encodings = message.count(http::field::transfer_encoding);
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0) || message.count(http::field::host) > 1)
        return false;
    auto encoding = message[http::field::transfer_encoding];
    return encodings == 0 || absl::AsciiStrToLower(absl::string_view(encoding.data(), encoding.size())) == "chunked";
}

bool RequestReader::expectsContinue() const
{
    return m_parser.get().count(http::field::expect) > 0;
}

HeaderFields RequestReader::fields() const
{
    HeaderFields result;
    for (const auto& it : m_parser.get())
        result.push_back({ std::string(it.name_string()), std::string(it.value()) });
    return result;
}

}
