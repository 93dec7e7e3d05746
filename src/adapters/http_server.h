#pragma once

// An HTTP/1.1 server (libmicrohttpd) with asynchronous responses: a handler may respond later and from another thread,
// and the connection is suspended until then. Header and body sizes, the number of connections and upload times are limited.

#include "core/ids.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkhitch {

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    // Header names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    // Set if the body exceeded the limit; the body is then empty.
    bool tooLarge = false;

    std::string header(const std::string& name) const;
    std::string queryValue(const std::string& name) const;
};

// The response to one request. All functions may be called from any thread.
class HttpReply {
public:
    virtual ~HttpReply() = default;
    virtual void respond(int status, std::vector<HttpHeader>, std::string body) = 0;
    virtual void startStream(int status, std::vector<HttpHeader>) = 0;
    virtual void write(std::string) = 0;
    virtual void finish() = 0;
    // Closes the connection without completing the response.
    virtual void abort() = 0;
    // The callback runs once, on a server thread, if the connection ends before the response is complete.
    virtual void onCallerDisconnected(std::function<void()>) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

struct HttpServerSettings {
    // ip:port; port 0 selects a free port.
    std::string listen;
    std::size_t maxBodyBytes = 1 << 20;
    unsigned int maxConnections = 4000;
    Seconds idleTimeout { 30 };
    // Maximum time from a request's header until the end of its body; checked whenever body data arrives.
    Seconds uploadTimeout { 30 };
    unsigned int threads = 1;
};

class HttpServer {
public:
    HttpServer(HttpServerSettings, HttpHandler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    int port() const;
    // Stops accepting connections; open connections continue.
    void stopListening();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Parses "ip:port". Throws UsageError if the text does not have that form.
struct HostPort {
    std::string host;
    int port = 0;
};
HostPort parseHostPort(const std::string&);

}
