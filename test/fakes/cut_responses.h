#pragma once

// Responses as raw bytes, to be cut after each of them, and a server that sends their beginnings.

#include "fakes/loopback_server.h"

namespace skylarkhitch::standin {

struct CutResponse {
    const char* name;
    const char* method;
    std::string bytes;
    int status;
    std::string body;
    // Whether the end of the body is the end of the connection, so that any cut within the body looks like its end.
    bool endsWithConnection = false;
    bool hasChunks = false;
};

// One response of each kind of framing.
const std::vector<CutResponse>& cutResponses();

// Number of bytes up to the end of the head of the final response.
std::size_t headLength(const std::string& bytes);

// Statuses and lines of a head that no response of HTTP has, and some that are allowed.
const std::vector<std::string>& invalidStatuses();
const std::vector<std::string>& validStatuses();
const std::vector<std::string>& invalidFieldLines();
constexpr const char* validFieldLine = "X-A!#$%&'*+.^_`|~: 1\r\n";

enum class Close { Orderly,
    Reset };

// Answers each request with the same bytes and then closes the connection.
class CuttingServer {
public:
    void answerWith(std::string bytes, Close close)
    {
        std::lock_guard lock(m_mutex);
        m_bytes = std::move(bytes);
        m_close = close;
        m_requests = 0;
    }
    std::string address() const { return m_server.address(); }
    // Requests received since answerWith().
    int requests() const
    {
        std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    bool serve(RawConnection& connection)
    {
        std::unique_lock lock(m_mutex);
        ++m_requests;
        auto bytes = m_bytes;
        auto close = m_close;
        lock.unlock();
        connection.write(bytes);
        if (close == Close::Reset)
            connection.reset();
        return false;
    }

    mutable std::mutex m_mutex;
    std::string m_bytes;
    Close m_close = Close::Orderly;
    int m_requests = 0;
    LoopbackServer m_server { [this](const RawRequest&, RawConnection& connection) { return serve(connection); } };
};

}
