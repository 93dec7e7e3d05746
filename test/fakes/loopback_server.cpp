#include "fakes/loopback_server.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylarkhitch::standin {

namespace {

    constexpr std::size_t readBlock = 16384;

    // Returns the length of a chunked body including its last chunk, or npos if the body is incomplete. Searches for the
    // bytes of the last chunk, so the data must not contain them.
    std::size_t chunkedLength(const std::string& in, std::size_t start)
    {
        auto end = in.find("0\r\n\r\n", start);
        return end == std::string::npos ? end : end + 5 - start;
    }

}

std::string RawRequest::field(std::string_view name) const
{
    const auto* it = findField(fields, name);
    return it ? it->value : std::string();
}

std::string RawRequest::query(const std::string& name) const
{
    auto queryStart = target.find('?');
    if (queryStart == std::string::npos)
        return {};
    for (auto it : absl::StrSplit(target.substr(queryStart + 1), '&')) {
        std::pair<std::string, std::string> pair = absl::StrSplit(it, absl::MaxSplits('=', 1));
        if (pair.first == name)
            return pair.second;
    }
    return {};
}

RawConnection::~RawConnection() { ::close(m_fd); }

std::unique_ptr<RawConnection> RawConnection::connect(int port, int receiveBytes)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // Before the connection is opened, which settles the scale of its window.
    if (receiveBytes > 0)
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    auto address = loopbackAddress(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<RawConnection>(fd);
}

bool RawConnection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool RawConnection::readMore(std::chrono::milliseconds time)
{
    pollfd it { m_fd, POLLIN, 0 };
    if (!m_open || ::poll(&it, 1, static_cast<int>(time.count())) <= 0)
        return false;
    char buf[readBlock];
    auto n = ::recv(m_fd, buf, sizeof buf, 0);
    if (n <= 0) {
        m_open = false;
        return false;
    }
    m_buffer.append(buf, static_cast<std::size_t>(n));
    return true;
}

bool RawConnection::readUntil(const std::function<bool(const std::string&)>& isEnough, std::chrono::milliseconds time)
{
    auto end = std::chrono::steady_clock::now() + time;
    while (!isEnough(m_buffer)) {
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        if (left.count() <= 0 || !readMore(left))
            return false;
    }
    return true;
}

std::optional<RawRequest> RawConnection::readRequest()
{
    auto hasHead = [](const std::string& in) { return in.find("\r\n\r\n") != std::string::npos; };
    if (!readUntil(hasHead, std::chrono::seconds(60)))
        return std::nullopt;
    RawRequest request;
    auto end = m_buffer.find("\r\n\r\n");
    std::vector<std::string> lines = absl::StrSplit(m_buffer.substr(0, end), "\r\n");
    std::vector<std::string> first = absl::StrSplit(lines[0], ' ');
    request.method = first.at(0);
    request.target = first.at(1);
    for (std::size_t n = 1; n < lines.size(); ++n) {
        std::pair<std::string, std::string> pair = absl::StrSplit(lines[n], absl::MaxSplits(": ", 1));
        request.fields.push_back({ pair.first, pair.second });
    }
    std::size_t length = 0;
    static_cast<void>(absl::SimpleAtoi(request.field("Content-Length"), &length));
    if (!readUntil([&](const std::string& in) { return in.size() >= end + 4 + length; }, std::chrono::seconds(10)))
        return std::nullopt;
    request.body = m_buffer.substr(end + 4, length);
    m_buffer.erase(0, end + 4 + length);
    return request;
}

std::string RawConnection::readResponse(std::chrono::milliseconds time)
{
    auto length = [](const std::string& in) -> std::size_t {
        auto end = in.find("\r\n\r\n");
        if (end == std::string::npos)
            return end;
        auto head = in.substr(0, end);
        if (absl::StrContains(head, "Transfer-Encoding: chunked")) {
            auto n = chunkedLength(in, end + 4);
            return n == std::string::npos ? n : end + 4 + n;
        }
        std::size_t body = 0;
        auto at = head.find("Content-Length: ");
        if (at != std::string::npos)
            body = static_cast<std::size_t>(std::strtoul(head.c_str() + at + 16, nullptr, 10));
        return in.size() >= end + 4 + body ? end + 4 + body : std::string::npos;
    };
    readUntil([&](const std::string& in) { return length(in) != std::string::npos; }, time);
    auto n = std::min(length(m_buffer), m_buffer.size());
    auto answer = m_buffer.substr(0, n);
    m_buffer.erase(0, n);
    return answer;
}

bool RawConnection::isClosedWithin(std::chrono::milliseconds time)
{
    readUntil([](const std::string&) { return false; }, time);
    return !m_open;
}

void RawConnection::endWriting() { ::shutdown(m_fd, SHUT_WR); }

void RawConnection::reset()
{
    linger resetOnClose { 1, 0 };
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    // Disconnects without close(), because another thread may still read from the descriptor.
    ::shutdown(m_fd, SHUT_RD);
    sockaddr unspecified { AF_UNSPEC, {} };
    ::connect(m_fd, &unspecified, sizeof unspecified);
    m_open = false;
}

void RawConnection::shutdown() { ::shutdown(m_fd, SHUT_RDWR); }

std::string decodeChunked(std::string_view bytes)
{
    std::string body;
    for (;;) {
        auto end = bytes.find("\r\n");
        if (end == std::string_view::npos)
            return body;
        auto n = std::strtoul(std::string(bytes.substr(0, end)).c_str(), nullptr, 16);
        if (n == 0 || bytes.size() < end + 2 + n)
            return body;
        body.append(bytes.substr(end + 2, n));
        bytes.remove_prefix(std::min(bytes.size(), end + 2 + n + 2));
    }
}

std::string responseBytes(int status, const std::string& body, const HeaderFields& fields)
{
    std::string bytes = absl::StrCat("HTTP/1.1 ", status, " Text\r\n");
    for (const auto& it : fields)
        absl::StrAppend(&bytes, it.name, ": ", it.value, "\r\n");
    absl::StrAppend(&bytes, "Content-Length: ", body.size(), "\r\n\r\n", body);
    return bytes;
}

LoopbackServer::LoopbackServer(Handler handler)
    : m_handler(std::move(handler))
    , m_listener([this](int fd) { serve(fd); })
{
}

LoopbackServer::~LoopbackServer()
{
    m_listener.stop();
    std::lock_guard lock(m_mutex);
    for (auto& it : m_connections) {
        if (auto connection = it.lock())
            connection->shutdown();
    }
}

void LoopbackServer::serve(int fd)
{
    auto connection = std::make_shared<RawConnection>(fd);
    {
        std::lock_guard lock(m_mutex);
        std::erase_if(m_connections, [](const auto& it) { return it.expired(); });
        m_connections.push_back(connection);
    }
    while (!m_listener.isStopping()) {
        auto request = connection->readRequest();
        if (!request || !m_handler(*request, *connection))
            break;
    }
}

}
