#pragma once

// An HTTP/1.1 client (libcurl's multi interface on one thread). Connections are kept alive and reused. Callbacks run on
// the client's thread; onEnd is called exactly once for each call that ends before it is cancelled and before the client is
// destroyed.

#include "adapters/http_server.h"

namespace skylarkhitch {

struct HttpCall {
    std::string method = "GET";
    // ip:port of the server.
    std::string address;
    std::string path;
    std::vector<HttpHeader> headers;
    std::shared_ptr<const std::string> body;
    Milliseconds timeout { 1000 };
    Milliseconds connectTimeout { 1000 };
    // Opens a new connection for this call, so that the call cannot fail because the server has closed an idle connection.
    bool freshConnection = false;
    // Whether libcurl may resend the request on another connection if a reused one is lost before any response. The
    // server may already have executed the request by then.
    bool mayResend = true;
};

enum class HttpEnd {
    Complete,
    // No byte of the request was sent.
    NotSent,
    // The connection was lost after the request was sent, or the transfer was aborted.
    Cut,
    TimedOut,
};

struct HttpResult {
    HttpEnd end = HttpEnd::Complete;
    int status = 0;
    std::map<std::string, std::string> headers;
    // Empty if onData received the body.
    std::string body;
};

struct HttpCallbacks {
    // Optional. Receives the body in chunks as they arrive, with the status of the response.
    std::function<void(int status, std::string_view)> onData;
    std::function<void(HttpResult)> onEnd;
};

class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    using CallId = std::uint64_t;
    CallId start(HttpCall, HttpCallbacks);
    // Requests cancellation of the call and returns at once. Cancelling a call that has ended has no effect. Callbacks may
    // still run until the client's thread has processed the cancellation.
    void cancel(CallId);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
