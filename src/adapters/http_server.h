#pragma once

// An HTTP/1.1 server (libmicrohttpd) with asynchronous responses: a handler may respond later and from another thread,
// and the connection is suspended until then. Header and body sizes, the number of connections and upload times are limited.

#include "core/ids.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhitch {

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpRequest {
    std::string method;
    // Without the query.
    std::string path;
    std::map<std::string, std::string> query;
    // Header names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    // Set if the body exceeded the limit; the body is then empty.
    bool tooLarge = false;

    // Returns the value of a header, or an empty string if it is missing. The name must be in lower case.
    std::string header(const std::string& name) const;
    // Returns the value of a query parameter, or an empty string if it is missing.
    std::string queryValue(const std::string& name) const;
};

// The response to one request: either respond, or startStream followed by write and finish. Once a response has been
// started, further calls of respond and startStream are ignored. All functions may be called from any thread.
class HttpReply {
public:
    virtual ~HttpReply() = default;
    virtual void respond(int status, std::vector<HttpHeader>, std::string body) = 0;
    virtual void startStream(int status, std::vector<HttpHeader>) = 0;
    // Queues data of a streamed response. The connection is closed if the caller reads so slowly that too much data is
    // queued.
    virtual void write(std::string) = 0;
    // Ends a streamed response.
    virtual void finish() = 0;
    // Closes the connection without completing the response.
    virtual void abort() = 0;
    // The callback runs once, on a server thread, if the connection ends before the response is complete, including after
    // abort(). A callback that is set after the connection has ended never runs.
    virtual void onCallerDisconnected(std::function<void()>) = 0;
};

// Called on a server thread once a request has been received, including its body.
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

struct HttpServerSettings {
    // ip:port; port 0 selects a free port.
    std::string listen;
    // Requests with a larger body reach the handler without it, with tooLarge set.
    std::size_t maxBodyBytes = 1 << 20;
    unsigned int maxConnections = 4000;
    // Connections without activity are closed after this time, unless they are suspended until the handler responds.
    Seconds idleTimeout { 30 };
    // Maximum time from a request's header until the end of its body, after which the connection is closed. Checked whenever
    // body data arrives.
    Seconds uploadTimeout { 30 };
    unsigned int threads = 1;
};

class HttpServer {
public:
    // Starts listening. Throws UsageError if that fails.
    HttpServer(HttpServerSettings, HttpHandler);
    // Aborts all responses that are not complete.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Returns the port that the server listens on.
    int port() const;
    // Stops accepting connections; open connections continue.
    void stopListening();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

struct HostPort {
    // An IPv4 address.
    std::string host;
    int port = 0;
};
// Parses "ip:port" with an IPv4 address. Throws UsageError if the text does not have that form.
HostPort parseHostPort(const std::string&);
// The same for text from outside: returns nullopt if it does not have that form.
std::optional<HostPort> tryParseHostPort(const std::string&);

}
