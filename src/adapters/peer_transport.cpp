#include "adapters/peer_transport.h"

#include "adapters/callback_guard.h"
#include "adapters/http_server.h"
#include "adapters/log.h"
#include "adapters/peer_frame.h"
#include "adapters/wall_clock.h"
#include "core/check.h"

#include <arpa/inet.h>
#include <atomic>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <mutex>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace skylarkhitch {

namespace {

    constexpr std::size_t maxFrameBytes = std::size_t { 4 } << 20;
    // Limit of queued messages per peer, beyond which the oldest is dropped. Also limits the open streams of a connection.
    constexpr std::size_t maxQueuedMessages = 4096;
    constexpr std::size_t maxInboundConnections = 2048;
    constexpr Milliseconds reconnectDelay { 200 };
    constexpr Milliseconds inboundIdleTimeout { 60000 };
    constexpr std::size_t readBufferBytes = std::size_t { 64 } * 1024;
    constexpr int pollTimeoutMs = 200;
    // Limit of an address in a log line, in bytes.
    constexpr std::size_t maxLoggedAddressBytes = 64;

    using SteadyTime = std::chrono::steady_clock::time_point;

    struct SessionDeleter {
        void operator()(nghttp2_session* session) const { nghttp2_session_del(session); }
    };
    using SessionPtr = std::unique_ptr<nghttp2_session, SessionDeleter>;

    class Socket {
    public:
        explicit Socket(int fd = -1)
            : m_fd(fd)
        {
        }
        Socket(Socket&& other) noexcept
            : m_fd(std::exchange(other.m_fd, -1))
        {
        }
        Socket& operator=(Socket&& other) noexcept
        {
            std::swap(m_fd, other.m_fd);
            return *this;
        }
        ~Socket()
        {
            if (m_fd >= 0)
                ::close(m_fd);
        }
        int fd() const { return m_fd; }

    private:
        int m_fd;
    };

    void configureSocket(int fd)
    {
        fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }

    nghttp2_nv makeHeader(const char* name, const std::string& value)
    {
        return { reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)), reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
            std::strlen(name), value.size(), NGHTTP2_NV_FLAG_NONE };
    }

    // A TCP connection with its HTTP/2 session, as client or as server. A server calls onFrame with the body of each request,
    // which is one frame in the sense of peer_frame.h.
    class Connection {
    public:
        Connection(Socket socket, bool isServer, std::function<void(std::string)> onFrame)
            : m_socket(std::move(socket))
            , m_onFrame(std::move(onFrame))
        {
            nghttp2_session_callbacks* callbacks = nullptr;
            nghttp2_session_callbacks_new(&callbacks);
            nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Connection::onFrameReceived);
            nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Connection::onDataChunk);
            nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Connection::onStreamClosed);
            nghttp2_session* session = nullptr;
            if (isServer)
                nghttp2_session_server_new(&session, callbacks, this);
            else
                nghttp2_session_client_new(&session, callbacks, this);
            m_session.reset(session);
            nghttp2_session_callbacks_del(callbacks);
            nghttp2_settings_entry settings[] = { { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1000 }, { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, 1 << 20 } };
            nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings, 2);
            nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, 16 << 20);
        }

        int fd() const { return m_socket.fd(); }
        bool wantsWrite() const { return !m_output.empty() || nghttp2_session_want_write(m_session.get()); }
        SteadyTime lastRead() const { return m_lastRead; }

        void submit(std::string frame)
        {
            auto body = std::make_unique<Body>(Body { std::move(frame), 0 });
            nghttp2_data_provider provider { { .ptr = body.get() }, &Connection::readBody };
            const std::string method = "POST", scheme = "http", authority = "peer", path = "/peer";
            nghttp2_nv headers[] = { makeHeader(":method", method), makeHeader(":scheme", scheme), makeHeader(":authority", authority), makeHeader(":path", path) };
            auto stream = nghttp2_submit_request(m_session.get(), nullptr, headers, 4, &provider, nullptr);
            if (stream > 0)
                m_bodies[stream] = std::move(body);
        }

        // read() and write() return false if the connection is closed or failed.
        bool read()
        {
            std::uint8_t buf[readBufferBytes];
            auto n = ::recv(fd(), buf, sizeof buf, 0);
            if (n < 0)
                return errno == EAGAIN || errno == EINTR;
            if (n == 0)
                return false;
            m_lastRead = std::chrono::steady_clock::now();
            return nghttp2_session_mem_recv(m_session.get(), buf, static_cast<std::size_t>(n)) >= 0;
        }

        bool write()
        {
            for (;;) {
                if (m_output.empty() && !fillOutput())
                    return false;
                if (m_output.empty())
                    return true;
                auto n = ::send(fd(), m_output.data(), m_output.size(), MSG_NOSIGNAL);
                if (n < 0)
                    return errno == EAGAIN || errno == EINTR;
                m_output.erase(0, static_cast<std::size_t>(n));
            }
        }

        std::size_t openStreams() const { return m_bodies.size(); }

    private:
        struct Body {
            std::string bytes;
            std::size_t offset;
        };

        bool fillOutput()
        {
            const std::uint8_t* data = nullptr;
            auto n = nghttp2_session_mem_send(m_session.get(), &data);
            if (n < 0)
                return false;
            m_output.assign(reinterpret_cast<const char*>(data), static_cast<std::size_t>(n));
            return true;
        }

        static ssize_t readBody(nghttp2_session*, std::int32_t, std::uint8_t* target, std::size_t capacity, std::uint32_t* flags, nghttp2_data_source* source, void*)
        {
            auto& body = *static_cast<Body*>(source->ptr);
            auto n = std::min(capacity, body.bytes.size() - body.offset);
            std::copy_n(body.bytes.data() + body.offset, n, target);
            body.offset += n;
            if (body.offset == body.bytes.size())
                *flags |= NGHTTP2_DATA_FLAG_EOF;
            return static_cast<ssize_t>(n);
        }

        // An exception in a callback of nghttp2 ends the connection.
        static int onDataChunk(nghttp2_session* session, std::uint8_t, std::int32_t stream, const std::uint8_t* data, std::size_t size, void* self)
        {
            int result = 0;
            bool ended = runGuarded("peer_data", [&] {
                auto& frame = static_cast<Connection*>(self)->m_frames[stream];
                if (frame.size() + size > maxFrameBytes)
                    result = nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_ENHANCE_YOUR_CALM);
                else
                    frame.append(reinterpret_cast<const char*>(data), size);
            });
            return ended ? result : NGHTTP2_ERR_CALLBACK_FAILURE;
        }

        static int onFrameReceived(nghttp2_session* session, const nghttp2_frame* frame, void* self)
        {
            auto& connection = *static_cast<Connection*>(self);
            bool isRequestEnd = (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS)
                && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) && nghttp2_session_check_server_session(session);
            if (!isRequestEnd)
                return 0;
            auto it = connection.m_frames.find(frame->hd.stream_id);
            if (it != connection.m_frames.end()) {
                // The frames after one that could not be handled are received all the same.
                runGuarded("peer_frame", [&] { connection.m_onFrame(std::move(it->second)); });
                connection.m_frames.erase(it);
            }
            const std::string status = "204";
            nghttp2_nv header = makeHeader(":status", status);
            nghttp2_submit_response(session, frame->hd.stream_id, &header, 1, nullptr);
            return 0;
        }

        static int onStreamClosed(nghttp2_session*, std::int32_t stream, std::uint32_t, void* self)
        {
            auto& connection = *static_cast<Connection*>(self);
            connection.m_bodies.erase(stream);
            connection.m_frames.erase(stream);
            return 0;
        }

        Socket m_socket;
        std::function<void(std::string)> m_onFrame;
        SessionPtr m_session;
        std::string m_output;
        // Bodies of the requests that are being sent, by stream.
        std::map<std::int32_t, std::unique_ptr<Body>> m_bodies;
        // Parts received so far of incoming frames, by stream.
        std::map<std::int32_t, std::string> m_frames;
        SteadyTime m_lastRead = std::chrono::steady_clock::now();
    };

    // Address, queue and connection for messages to one peer.
    struct OutboundPeer {
        std::string address;
        std::deque<std::string> queue;
        std::unique_ptr<Connection> connection;
        SteadyTime retryAt {};
    };

}

class PeerTransport::Impl {
public:
    Impl(PeerTransportSettings settings, Receiver receiver)
        : m_settings(std::move(settings))
        , m_receiver(std::move(receiver))
        , m_encoder(m_settings.self, m_settings.secret)
        , m_decoder(m_settings.self.instance, m_settings.secret)
        , m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        listen();
        m_thread = std::thread([this] {
            while (!m_stopping)
                runGuarded("peer_transport", [this] { run(); });
        });
    }

    ~Impl()
    {
        m_stopping = true;
        wake();
        m_thread.join();
    }

    void send(const InstanceId& to, const PeerEnvelope& envelope)
    {
        std::lock_guard lock(m_mutex);
        auto& out = m_outbound[to];
        if (out.queue.size() >= maxQueuedMessages) {
            out.queue.pop_front();
            ++m_counts.dropped;
        }
        out.queue.push_back(m_encoder.encode(to, envelope, wallNow()));
        ++m_counts.sent;
        m_counts.sentBytes += out.queue.back().size();
        wake();
    }

    void setAddress(const InstanceId& id, const std::string& address)
    {
        std::lock_guard lock(m_mutex);
        auto& out = m_outbound[id];
        if (out.address == address)
            return;
        out.address = address;
        if (!tryParseHostPort(address))
            LogLine(LogLevel::Warning, "peer_address_invalid").with("peer", id.value).with("address", address.substr(0, maxLoggedAddressBytes));
        m_addressChanged.push_back(id);
        wake();
    }

    int port() const { return m_port; }

    PeerTransportCounts counts() const
    {
        std::lock_guard lock(m_mutex);
        return m_counts;
    }

private:
    void wake() const
    {
        std::uint64_t one = 1;
        static_cast<void>(::write(m_wake.fd(), &one, sizeof one));
    }

    void listen()
    {
        auto hostPort = parseHostPort(m_settings.listen);
        m_listener = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        int one = 1;
        setsockopt(m_listener.fd(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(hostPort.port));
        inet_pton(AF_INET, hostPort.host.c_str(), &address.sin_addr);
        bool listens = bind(m_listener.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 && ::listen(m_listener.fd(), 256) == 0;
        USAGE_CHECK(listens) << "cannot listen for peers on " << m_settings.listen << ": " << std::strerror(errno);
        socklen_t size = sizeof address;
        getsockname(m_listener.fd(), reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        configureSocket(m_listener.fd());
    }

    void run()
    {
        while (!m_stopping) {
            flushOutbound();
            std::vector<pollfd> fds { { m_wake.fd(), POLLIN, 0 }, { m_listener.fd(), POLLIN, 0 } };
            std::vector<Connection*> polled;
            auto add = [&](Connection& it) {
                fds.push_back({ it.fd(), static_cast<short>(POLLIN | (it.wantsWrite() ? POLLOUT : 0)), 0 });
                polled.push_back(&it);
            };
            {
                std::lock_guard lock(m_mutex);
                for (auto& [id, out] : m_outbound) {
                    if (out.connection)
                        add(*out.connection);
                }
            }
            for (auto& it : m_inbound)
                add(*it);
            ::poll(fds.data(), fds.size(), pollTimeoutMs);
            if (fds[0].revents)
                clearWake();
            std::vector<Connection*> broken;
            for (std::size_t n = 0; n < polled.size(); ++n) {
                if (!handleEvents(*polled[n], fds[n + 2].revents))
                    broken.push_back(polled[n]);
            }
            removeBroken(broken);
            if (fds[1].revents)
                accept();
        }
    }

    void clearWake() const
    {
        std::uint64_t n = 0;
        static_cast<void>(::read(m_wake.fd(), &n, sizeof n));
    }

    static bool handleEvents(Connection& connection, short events)
    {
        if ((events & (POLLIN | POLLHUP | POLLERR)) && !connection.read())
            return false;
        return connection.write();
    }

    void removeBroken(const std::vector<Connection*>& broken)
    {
        auto isBroken = [&](const Connection* it) { return std::find(broken.begin(), broken.end(), it) != broken.end(); };
        auto idleBefore = std::chrono::steady_clock::now() - inboundIdleTimeout;
        std::erase_if(m_inbound, [&](const auto& it) { return isBroken(it.get()) || it->lastRead() < idleBefore; });
        std::lock_guard lock(m_mutex);
        for (auto& [id, out] : m_outbound) {
            if (!out.connection || !isBroken(out.connection.get()))
                continue;
            // Messages submitted to the connection may be lost; the core resends those that require delivery.
            out.connection.reset();
            out.retryAt = std::chrono::steady_clock::now() + reconnectDelay;
        }
    }

    void flushOutbound()
    {
        std::lock_guard lock(m_mutex);
        for (const auto& id : std::exchange(m_addressChanged, {}))
            m_outbound[id].connection.reset();
        auto now = std::chrono::steady_clock::now();
        for (auto& [id, out] : m_outbound) {
            if (out.queue.empty() || out.address.empty())
                continue;
            if (!out.connection && now >= out.retryAt) {
                out.connection = connect(out.address);
                if (!out.connection)
                    out.retryAt = now + reconnectDelay;
            }
            if (!out.connection)
                continue;
            for (; !out.queue.empty() && out.connection->openStreams() < maxQueuedMessages; out.queue.pop_front())
                out.connection->submit(std::move(out.queue.front()));
        }
    }

    // Returns null if the address is not of the form ip:port, or the connection fails at once.
    static std::unique_ptr<Connection> connect(const std::string& text)
    {
        auto hostPort = tryParseHostPort(text);
        if (!hostPort)
            return nullptr;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(hostPort->port));
        inet_pton(AF_INET, hostPort->host.c_str(), &address.sin_addr);
        Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        configureSocket(socket.fd());
        if (::connect(socket.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS)
            return nullptr;
        return std::make_unique<Connection>(std::move(socket), false, [](const std::string&) {});
    }

    void accept()
    {
        for (;;) {
            Socket socket(::accept4(m_listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
            if (socket.fd() < 0)
                return;
            if (m_inbound.size() >= maxInboundConnections)
                continue;
            configureSocket(socket.fd());
            m_inbound.push_back(std::make_unique<Connection>(std::move(socket), true, [this](const std::string& frame) { received(frame); }));
        }
    }

    void received(const std::string& frame)
    {
        auto envelope = m_decoder.decode(frame, wallNow());
        {
            std::lock_guard lock(m_mutex);
            ++(envelope ? m_counts.received : m_counts.refused);
        }
        if (envelope)
            m_receiver(std::move(*envelope));
    }

    PeerTransportSettings m_settings;
    Receiver m_receiver;
    mutable std::mutex m_mutex;
    FrameEncoder m_encoder;
    FrameDecoder m_decoder;
    Socket m_wake;
    Socket m_listener;
    int m_port = 0;
    std::map<InstanceId, OutboundPeer> m_outbound;
    std::vector<InstanceId> m_addressChanged;
    std::vector<std::unique_ptr<Connection>> m_inbound;
    PeerTransportCounts m_counts;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

PeerTransport::PeerTransport(PeerTransportSettings settings, Receiver receiver)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(receiver)))
{
}

PeerTransport::~PeerTransport() = default;

void PeerTransport::send(const InstanceId& to, const PeerEnvelope& envelope) { m_impl->send(to, envelope); }

void PeerTransport::setAddress(const InstanceId& id, const std::string& address) { m_impl->setAddress(id, address); }

int PeerTransport::port() const { return m_impl->port(); }

PeerTransportCounts PeerTransport::counts() const { return m_impl->counts(); }

}
