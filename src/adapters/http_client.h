#pragma once

// An HTTP/1.1 client (libcurl's multi interface on one thread). Connections are kept alive and reused. Callbacks run on
// the client's thread. onEnd is called once, when the call ends; it is not called if the client has processed a
// cancellation of the call or is destroyed before that. An exception that leaves a callback is logged and counted (see
// callback_guard.h); one that leaves onData ends the call with Cut.

#include "adapters/http_server.h"

namespace skylarkhitch {

struct HttpCall {
    std::string method = "GET";
    // ip:port of the server.
    std::string address;
    // Path and query.
    std::string path;
    // Content-Type is application/json unless it is given here.
    std::vector<HttpHeader> headers;
    // Null if the request has no body.
    std::shared_ptr<const std::string> body;
    // Limit of the whole call, including the connection setup.
    Milliseconds timeout { 1000 };
    Milliseconds connectTimeout { 1000 };
    // Uses a new connection for this call only, so that the call cannot fail because the server has closed an idle
    // connection.
    bool freshConnection = false;
    // Whether libcurl may resend the request on another connection if a reused one is lost before any response. The
    // server may already have executed the request by then.
    bool mayResend = true;
};

enum class HttpEnd {
    // The complete response was received, with any status: the head up to its empty line, and the body up to its stated end. A body
    // without a stated end ends when the server closes the connection in order.
    Complete,
    // No byte of the request was sent, for example because the connection was refused or connecting timed out.
    NotSent,
    // The connection was lost or closed after libcurl began to send the request and before the response was complete, or the client aborted the transfer: the body was too
    // large, or the request would have been resent without mayResend.
    Cut,
    // The timeout expired after libcurl began to send the request.
    TimedOut,
};

struct HttpResult {
    HttpEnd end = HttpEnd::Complete;
    // 0 if no response was received. A response that is not complete may have one.
    int status = 0;
    // Fields of the final response's head, without trailers and the fields of interim responses. Names are in lower case.
    std::map<std::string, std::string> headers;
    // Empty if onData received the body.
    std::string body;
};

struct HttpCallbacks {
    // Optional. Receives the body in chunks as they arrive, with the status of the response.
    std::function<void(int status, std::string_view)> onData;
    // Required. Receives the result of the call.
    std::function<void(HttpResult)> onEnd;
};

class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    using CallId = std::uint64_t;
    // Queues the call for the client's thread and returns at once.
    CallId start(HttpCall, HttpCallbacks);
    // Requests cancellation of the call and returns at once. Cancelling a call that has ended has no effect. Callbacks may
    // still run until the client's thread has processed the cancellation.
    void cancel(CallId);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
