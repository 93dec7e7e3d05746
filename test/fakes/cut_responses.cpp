#include "fakes/cut_responses.h"

namespace skylarkhitch::standin {

const std::vector<CutResponse>& cutResponses()
{
    static const std::vector<CutResponse> responses {
        { "a stated length", "GET", "HTTP/1.1 200 OK\r\nX-Build: 7\r\nContent-Length: 5\r\n\r\nhello", 200, "hello" },
        { "a stated length of zero", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Build: 7\r\n\r\n", 200, "" },
        { "chunks", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Build: 7\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", 200, "hello", false, true },
        { "chunks with a trailer", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", 200, "hello", false, true },
        { "neither length nor chunks", "GET", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhello", 200, "hello", true },
        { "neither length nor chunks, and HTTP/1.0", "POST", "HTTP/1.0 200 OK\r\nX-Build: 7\r\n\r\nhello", 200, "hello", true },
        { "status 204", "DELETE", "HTTP/1.1 204 No Content\r\nX-Build: 7\r\n\r\n", 204, "" },
        { "status 304", "GET", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", 304, "" },
        { "the method HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Build: 7\r\n\r\n", 200, "" },
        { "status 100 first", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok" },
        { "status 100 and 103 first", "GET", "HTTP/1.1 100 Continue\r\nX-A: 1\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 201 Created\r\nX-Build: 7\r\nContent-Length: 2\r\n\r\nok", 201, "ok" },
        { "folded fields", "GET", "HTTP/1.1 200 OK\r\nX-Note: a\r\n  b\r\n\tc\r\nContent-Length: 2\r\n\r\nok", 200, "ok" },
        { "line ends without CR", "GET", "HTTP/1.1 200 OK\nX-Build: 7\nContent-Length: 2\n\nok", 200, "ok" },
        { "status 404", "GET", "HTTP/1.1 404 Not Found\r\nX-Build: 7\r\nContent-Length: 2\r\n\r\n{}", 404, "{}" },
        { "status 409", "PUT", "HTTP/1.1 409 Conflict\r\nX-Build: 7\r\nContent-Length: 2\r\n\r\n{}", 409, "{}" },
    };
    return responses;
}

const std::vector<std::string>& invalidStatuses()
{
    static const std::vector<std::string> statuses { "000", "001", "099", "101", "600", "999" };
    return statuses;
}

const std::vector<std::string>& validStatuses()
{
    static const std::vector<std::string> statuses { "200", "299", "404", "599" };
    return statuses;
}

const std::vector<std::string>& invalidFieldLines()
{
    static const std::vector<std::string> lines { "X A: 1\r\n", "X\tA: 1\r\n", "X\x01: 1\r\n", std::string("X\0: 1\r\n", 7), "X\x7f: 1\r\n", "X\xe4: 1\r\n", "X : 1\r\n", ": 1\r\n", "X\r\n" };
    return lines;
}

std::size_t headLength(const std::string& bytes)
{
    std::size_t end = 0;
    for (bool isFinal = false; !isFinal;) {
        isFinal = bytes.compare(end + 9, 1, "1") != 0;
        auto crlf = bytes.find("\r\n\r\n", end);
        end = crlf != std::string::npos ? crlf + 4 : bytes.find("\n\n", end) + 2;
    }
    return end;
}

}
