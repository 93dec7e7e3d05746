#pragma once

// Incremental, strict parser of one HTTP/1.1 request. Anything that two parsers could interpret differently is an error.

#include "core/requests/header_field.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace skylarkhitch {

class RequestReader {
public:
    enum class State { NeedsHead,
        NeedsBody,
        Done,
        Failed };

    // Longest line before a chunk, and longest trailers, in bytes.
    static constexpr std::size_t maxChunkLineBytes = std::size_t { 16 } * 1024;

    RequestReader(std::size_t maxHeadBytes, std::size_t maxBodyBytes);

    // Removes empty lines before a request line. Nothing of a request has arrived if the buffer is empty afterwards.
    static void skipEmptyLines(std::string& input);

    // Parses from the front of the buffer and removes what was consumed.
    State feed(std::string& input);

    State state() const { return m_state; }
    // HTTP status of the error response, once the state is Failed.
    int errorStatus() const { return m_errorStatus; }
    // Whether the request has an Expect field: the caller waits for "100 Continue" before it sends the body.
    bool expectsContinue() const;
    bool keepsAlive() const { return m_parser.get().keep_alive(); }
    bool isHttp11() const { return m_parser.get().version() == 11; }
    std::string method() const { return std::string(m_parser.get().method_string()); }
    std::string target() const { return std::string(m_parser.get().target()); }
    HeaderFields fields() const;
    // Bytes of the body: the stated length, or what has arrived of a chunked one. 0 before the head is complete.
    std::size_t bodyBytes() const;
    // Moves the body out of the reader.
    std::string takeBody() { return std::move(m_parser.get().body()); }

private:
    State fail(int status);
    State parseHead(std::string& input);
    State parseBody(std::string& input);
    // Reserves the memory of a long chunked body at once, since growing in steps needs twice its size.
    void reserveBody();
    bool hasUnambiguousFraming() const;

    std::size_t m_maxHeadBytes;
    std::size_t m_maxBodyBytes;
    State m_state = State::NeedsHead;
    int m_errorStatus = 0;
    boost::beast::http::request_parser<boost::beast::http::string_body> m_parser;
};

}
