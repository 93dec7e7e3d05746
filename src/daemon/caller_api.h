#pragma once

// HTTP API for callers. Converts chat requests and service calls to CallerRequests and sends the core's responses as HTTP; also
// serves health checks, the choice of an entry address and the list of models.

#include "adapters/http_server.h"
#include "daemon/control_loop.h"

#include <atomic>
#include <mutex>

namespace skylarkhitch {

class CallerApi {
public:
    CallerApi(ControlLoop& control, Incarnation self)
        : m_control(control)
        , m_self(std::move(self))
    {
    }

    // Serves one request, whose response may follow later; called on the HTTP server's threads.
    void serve(HttpRequest, const std::shared_ptr<HttpReply>&);

    // Send the core's responses to the callers; called on the control thread.
    void execute(CallerResponse);
    void execute(const CallerStreamStart&);
    void execute(const CallerStreamData&);
    void execute(const CallerStreamEnd&);

private:
    void serveEntry(const HttpRequest&, const std::shared_ptr<HttpReply>&);
    void serveModels(const HttpRequest&, const std::shared_ptr<HttpReply>&);
    void serveCall(HttpRequest, const std::shared_ptr<HttpReply>&, CallKind);
    std::shared_ptr<HttpReply> findReply(const RequestId&, bool remove);
    RequestId newRequestId();

    ControlLoop& m_control;
    Incarnation m_self;
    std::atomic<std::uint64_t> m_lastRequest = 0;
    std::mutex m_mutex;
    // Replies of requests that the core has not completed yet.
    std::map<RequestId, std::shared_ptr<HttpReply>> m_replies;
};

}
