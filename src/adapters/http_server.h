#pragma once

// An HTTP/1.1 server (libmicrohttpd) whose answers may come later and from another thread: a connection without an
// answer waits suspended. Bodies, headers, connections and the time of an upload are bounded.

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
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    // The body was larger than allowed and is not there.
    bool tooLarge = false;

    std::string header(const std::string& name) const;
    std::string queryValue(const std::string& name) const;
};

// The answer to one request; all functions may be called from any thread.
class HttpReply {
public:
    virtual ~HttpReply() = default;
    virtual void respond(int status, std::vector<HttpHeader>, std::string body) = 0;
    virtual void startStream(int status, std::vector<HttpHeader>) = 0;
    virtual void write(std::string) = 0;
    virtual void finish() = 0;
    // Closes the connection without a proper end.
    virtual void abort() = 0;
    // Called once if the caller leaves before the answer is whole; on a server thread.
    virtual void onCallerLeft(std::function<void()>) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

struct HttpServerSettings {
    // ip:port; port 0 takes a free one.
    std::string listen;
    std::size_t maxBodyBytes = 1 << 20;
    unsigned int maxConnections = 4000;
    Seconds idleTimeout { 30 };
    // Longest time from a request's head to the end of its body.
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
    // Takes no more connections; those that are open go on.
    void stopListening();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Splits "ip:port". Throws UsageError if the text is not of that form.
struct HostPort {
    std::string host;
    int port = 0;
};
HostPort parseHostPort(const std::string&);

}
