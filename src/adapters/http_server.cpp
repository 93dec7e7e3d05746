#include "adapters/http_server.h"

#include "adapters/callback_guard.h"
#include "core/check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <atomic>
#include <cstring>
#include <microhttpd.h>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <set>
#include <thread>
#include <unistd.h>

namespace skylarkhitch {

namespace {

    // Limit of unsent bytes of a streamed response; a caller that reads too slowly is disconnected when it is exceeded.
    constexpr std::size_t maxBufferedBytes = std::size_t { 8 } << 20;
    // Buffer size allocated for each open stream. One event of an engine is a few hundred bytes.
    constexpr std::size_t streamBufferBytes = std::size_t { 2 } * 1024;
    // Memory allocated for each connection; limits the size of a request's header.
    constexpr std::size_t connectionMemoryBytes = std::size_t { 8 } * 1024;
    constexpr Milliseconds disconnectCheckPeriod { 200 };
    // The response to a request whose handler failed before it responded. Whether the handler had passed the request on is not known.
    constexpr std::string_view failedHandlerBody = R"({"error":{"kind":"internal","message":"the request could not be handled","ran":"unknown"}})";

    class Reply;

    // Suspended connections, polled for callers that disconnect: libmicrohttpd does not watch a suspended connection.
    class SuspendedConnections {
    public:
        void add(int fd, const std::shared_ptr<Reply>&);
        void remove(Reply*);
        void abortDisconnected();

    private:
        std::mutex m_mutex;
        struct Watched {
            int fd;
            std::weak_ptr<Reply> reply;
        };
        std::map<Reply*, Watched> m_watched;
    };

    class Reply final : public HttpReply, public std::enable_shared_from_this<Reply> {
    public:
        Reply(MHD_Connection* connection, SuspendedConnections& suspended)
            : m_connection(connection)
            , m_suspended(suspended)
        {
            const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
            m_fd = info ? info->connect_fd : -1;
        }

        void respond(int status, std::vector<HttpHeader> headers, std::string body) override
        {
            std::lock_guard lock(m_mutex);
            if (m_started)
                return;
            begin(status, std::move(headers), false);
            m_buffer = std::move(body);
            m_finished = true;
            resume();
        }
        void startStream(int status, std::vector<HttpHeader> headers) override
        {
            std::lock_guard lock(m_mutex);
            if (m_started)
                return;
            begin(status, std::move(headers), true);
            resume();
        }
        void write(std::string bytes) override
        {
            std::lock_guard lock(m_mutex);
            if (m_finished || m_aborted)
                return;
            m_buffer += bytes;
            m_aborted = m_buffer.size() - m_offset > maxBufferedBytes;
            resume();
        }
        void finish() override
        {
            std::lock_guard lock(m_mutex);
            m_finished = true;
            resume();
        }
        void abort() override
        {
            std::lock_guard lock(m_mutex);
            m_aborted = true;
            resume();
        }
        void onCallerDisconnected(std::function<void()> callback) override
        {
            std::lock_guard lock(m_mutex);
            m_onCallerDisconnected = std::move(callback);
        }

        // The public functions below are called on the server's threads only.
        MHD_Result queueOrSuspend()
        {
            std::lock_guard lock(m_mutex);
            if (m_aborted && !m_queued)
                return MHD_NO;
            if (!m_started) {
                suspend();
                return MHD_YES;
            }
            m_queued = true;
            auto* response = m_streamed
                ? MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBufferBytes, &Reply::readStream, this, nullptr)
                : MHD_create_response_from_buffer(m_buffer.size(), m_buffer.data(), MHD_RESPMEM_PERSISTENT);
            for (const auto& it : m_headers)
                MHD_add_response_header(response, it.name.c_str(), it.value.c_str());
            auto result = MHD_queue_response(m_connection, static_cast<unsigned int>(m_status), response);
            MHD_destroy_response(response);
            return result;
        }
        void completed(bool isComplete)
        {
            std::function<void()> callback;
            {
                std::lock_guard lock(m_mutex);
                m_connection = nullptr;
                if (!isComplete || m_aborted)
                    callback = std::move(m_onCallerDisconnected);
                m_onCallerDisconnected = nullptr;
                m_aborted = true;
            }
            if (callback)
                runGuarded("http_server_disconnected", callback);
        }

    private:
        static ssize_t readStream(void* self, std::uint64_t, char* target, std::size_t capacity)
        {
            return static_cast<Reply*>(self)->read(target, capacity);
        }
        ssize_t read(char* target, std::size_t capacity)
        {
            std::lock_guard lock(m_mutex);
            if (m_aborted)
                return MHD_CONTENT_READER_END_WITH_ERROR;
            auto n = std::min(capacity, m_buffer.size() - m_offset);
            if (n > 0) {
                std::memcpy(target, m_buffer.data() + m_offset, n);
                m_offset += n;
                if (m_offset == m_buffer.size()) {
                    m_buffer.clear();
                    m_offset = 0;
                }
                return static_cast<ssize_t>(n);
            }
            if (m_finished)
                return MHD_CONTENT_READER_END_OF_STREAM;
            suspend();
            return 0;
        }
        void begin(int status, std::vector<HttpHeader> headers, bool streamed)
        {
            m_started = true;
            m_streamed = streamed;
            m_status = status;
            m_headers = std::move(headers);
        }
        // Connections are suspended and resumed under the same mutex, so that no resume is lost.
        void suspend()
        {
            if (!m_connection || m_isSuspended)
                return;
            m_isSuspended = true;
            m_suspended.add(m_fd, shared_from_this());
            MHD_suspend_connection(m_connection);
        }
        void resume()
        {
            if (!m_isSuspended || !m_connection)
                return;
            m_isSuspended = false;
            m_suspended.remove(this);
            MHD_resume_connection(m_connection);
        }

        std::mutex m_mutex;
        MHD_Connection* m_connection;
        SuspendedConnections& m_suspended;
        int m_fd = -1;
        bool m_isSuspended = false;
        bool m_started = false;
        bool m_streamed = false;
        bool m_finished = false;
        bool m_aborted = false;
        bool m_queued = false;
        int m_status = 200;
        std::vector<HttpHeader> m_headers;
        std::string m_buffer;
        std::size_t m_offset = 0;
        std::function<void()> m_onCallerDisconnected;
    };

    void SuspendedConnections::add(int fd, const std::shared_ptr<Reply>& reply)
    {
        std::lock_guard lock(m_mutex);
        m_watched[reply.get()] = { fd, reply };
    }

    void SuspendedConnections::remove(Reply* reply)
    {
        std::lock_guard lock(m_mutex);
        m_watched.erase(reply);
    }

    void SuspendedConnections::abortDisconnected()
    {
        std::vector<pollfd> fds;
        std::vector<std::weak_ptr<Reply>> replies;
        {
            std::lock_guard lock(m_mutex);
            for (const auto& [key, it] : m_watched) {
                fds.push_back({ it.fd, POLLRDHUP, 0 });
                replies.push_back(it.reply);
            }
        }
        if (fds.empty() || poll(fds.data(), fds.size(), 0) <= 0)
            return;
        for (std::size_t n = 0; n < fds.size(); ++n) {
            if (!(fds[n].revents & (POLLRDHUP | POLLHUP | POLLERR)))
                continue;
            auto reply = replies[n].lock();
            std::unique_lock lock(m_mutex);
            bool stillSuspended = reply && m_watched.contains(reply.get());
            lock.unlock();
            if (stillSuspended)
                reply->abort();
        }
    }

    // One request with its reply, from the first header until libmicrohttpd reports its completion.
    struct Exchange {
        HttpRequest request;
        std::shared_ptr<Reply> reply;
        std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
        bool handled = false;
    };

    MHD_Result collectValue(void* target, MHD_ValueKind kind, const char* key, const char* value)
    {
        auto& request = *static_cast<HttpRequest*>(target);
        std::string text = value ? value : "";
        if (kind == MHD_HEADER_KIND)
            request.headers[absl::AsciiStrToLower(key)] = text;
        else
            request.query[key] = text;
        return MHD_YES;
    }

}

std::string HttpRequest::header(const std::string& name) const
{
    auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::string HttpRequest::queryValue(const std::string& name) const
{
    auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
}

std::optional<HostPort> tryParseHostPort(const std::string& text)
{
    auto colon = text.rfind(':');
    HostPort parsed;
    bool valid = colon != std::string::npos && absl::SimpleAtoi(text.substr(colon + 1), &parsed.port) && parsed.port >= 0 && parsed.port < 65536;
    parsed.host = text.substr(0, colon);
    in_addr ip {};
    if (!valid || inet_pton(AF_INET, parsed.host.c_str(), &ip) != 1)
        return std::nullopt;
    return parsed;
}

HostPort parseHostPort(const std::string& text)
{
    auto parsed = tryParseHostPort(text);
    USAGE_CHECK(parsed) << "'" << text << "' is not an address of the form ip:port";
    return *parsed;
}

class HttpServer::Impl {
public:
    Impl(HttpServerSettings settings, HttpHandler handler)
        : m_settings(std::move(settings))
        , m_handler(std::move(handler))
    {
        auto hostPort = parseHostPort(m_settings.listen);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(hostPort.port));
        inet_pton(AF_INET, hostPort.host.c_str(), &address.sin_addr);
        unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
        m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &Impl::access, this,
            MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&address),
            MHD_OPTION_CONNECTION_LIMIT, m_settings.maxConnections,
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemoryBytes,
            MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned int>(m_settings.idleTimeout.count()),
            MHD_OPTION_NOTIFY_COMPLETED, &Impl::completed, this,
            MHD_OPTION_THREAD_POOL_SIZE, m_settings.threads > 1 ? m_settings.threads : 0U,
            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
            MHD_OPTION_END);
        USAGE_CHECK(m_daemon) << "cannot listen on " << m_settings.listen << ": " << std::strerror(errno);
        m_watcher = std::thread([this] { watchSuspended(); });
    }

    ~Impl()
    {
        m_stopping = true;
        m_watcher.join();
        // libmicrohttpd requires that suspended connections are resumed before the daemon stops.
        std::vector<std::shared_ptr<Reply>> open;
        {
            std::lock_guard lock(m_mutex);
            for (auto* it : m_exchanges)
                open.push_back(it->reply);
        }
        for (auto& it : open) {
            if (it)
                it->abort();
        }
        MHD_stop_daemon(m_daemon);
    }

    int port() const
    {
        return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    }

    void stopListening()
    {
        if (auto fd = MHD_quiesce_daemon(m_daemon); fd != MHD_INVALID_SOCKET)
            close(fd);
    }

private:
    static MHD_Result access(void* self, MHD_Connection* connection, const char* url, const char* method, const char*, const char* data, std::size_t* size, void** context)
    {
        // The connection is closed if no response can be queued.
        auto result = MHD_NO;
        runGuarded("http_server_request", [&] { result = static_cast<Impl*>(self)->onAccess(connection, url, method, data, size, context); });
        return result;
    }

    MHD_Result onAccess(MHD_Connection* connection, const char* url, const char* method, const char* data, std::size_t* size, void** context)
    {
        if (!*context) {
            *context = begin(connection, url, method);
            return MHD_YES;
        }
        auto& exchange = *static_cast<Exchange*>(*context);
        if (*size > 0)
            return receiveBody(exchange, data, size);
        if (!exchange.handled) {
            exchange.handled = true;
            if (!runGuarded("http_server_handler", [&] { m_handler(std::move(exchange.request), exchange.reply); }))
                exchange.reply->respond(500, { { "Content-Type", "application/json" } }, std::string(failedHandlerBody));
        }
        return exchange.reply->queueOrSuspend();
    }

    Exchange* begin(MHD_Connection* connection, const char* url, const char* method)
    {
        auto exchange = std::make_unique<Exchange>();
        exchange->request.method = method;
        exchange->request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectValue, &exchange->request);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectValue, &exchange->request);
        exchange->reply = std::make_shared<Reply>(connection, m_suspended);
        std::lock_guard lock(m_mutex);
        m_exchanges.insert(exchange.get());
        return exchange.release();
    }

    MHD_Result receiveBody(Exchange& exchange, const char* data, std::size_t* size) const
    {
        auto& request = exchange.request;
        if (std::chrono::steady_clock::now() - exchange.startedAt > m_settings.uploadTimeout)
            return MHD_NO;
        request.tooLarge = request.tooLarge || request.body.size() + *size > m_settings.maxBodyBytes;
        if (request.tooLarge)
            request.body.clear();
        else
            request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }

    static void completed(void* self, MHD_Connection*, void** context, MHD_RequestTerminationCode code)
    {
        std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*context));
        *context = nullptr;
        if (!exchange)
            return;
        auto& impl = *static_cast<Impl*>(self);
        {
            std::lock_guard lock(impl.m_mutex);
            impl.m_exchanges.erase(exchange.get());
        }
        exchange->reply->completed(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }

    void watchSuspended()
    {
        while (!m_stopping) {
            std::this_thread::sleep_for(disconnectCheckPeriod);
            runGuarded("http_server_watch", [this] { m_suspended.abortDisconnected(); });
        }
    }

    HttpServerSettings m_settings;
    HttpHandler m_handler;
    SuspendedConnections m_suspended;
    MHD_Daemon* m_daemon = nullptr;
    std::mutex m_mutex;
    std::set<Exchange*> m_exchanges;
    std::thread m_watcher;
    std::atomic<bool> m_stopping = false;
};

HttpServer::HttpServer(HttpServerSettings settings, HttpHandler handler)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

int HttpServer::port() const { return m_impl->port(); }

void HttpServer::stopListening() { m_impl->stopListening(); }

}
