#include "site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    sockaddr_in addressOf(const std::string& ip, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    // Whether a port can be bound on all addresses, for TCP and UDP.
    bool isFree(int port)
    {
        bool result = true;
        for (int type : { SOCK_STREAM, SOCK_DGRAM }) {
            int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            auto address = addressOf("0.0.0.0", port);
            result = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 && result;
            ::close(fd);
        }
        return result;
    }

    int freePort()
    {
        // Below the range from which the kernel takes the ports of connections.
        static int next = 12000 + static_cast<int>(::getpid() % 1500) * 10;
        while (!isFree(next))
            ++next;
        return next++;
    }

}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

Record::Record(const std::string& path)
    : m_out(path)
{
}

void Record::line(const std::string& text)
{
    std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", seconds(Clock::now()));
    m_out << time << text << "\n";
    m_out.flush();
}

double Record::seconds(Clock::time_point at) const { return std::chrono::duration<double>(at - m_start).count(); }

TemporaryFolder::TemporaryFolder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    if (!::mkdtemp(pattern.data())) {
        std::cerr << "no temporary folder\n";
        std::exit(couldNotRun);
    }
    m_path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(m_path);
    else
        std::cerr << "logs: " << m_path << "\n";
}

const Ports& ports()
{
    static const Ports all { freePort(), freePort(), freePort(), freePort(), freePort() };
    return all;
}

Instance::Instance(const TemporaryFolder& folder, std::string name, const std::string& ip, const InstanceSettings& settings)
    : m_name(std::move(name))
    , m_ip(ip)
    , m_settings(absl::StrCat(folder.path(), "/", m_name, ".yaml"))
    , m_log(absl::StrCat(folder.path(), "/", m_name, ".log"))
{
    // As platform/settings.yaml.template is filled in for a small deployment.
    const auto& p = ports();
    std::ofstream(m_settings) << "edge:\n  instance: " << m_name << "\n  domain: " << settings.domain << "\n  entry_listen: " << ip << ":" << p.entry << "\n  ready_listen: " << ip << ":" << p.ready
                              << "\n  directory_listen: " << ip << ":" << p.directory << "\n  peer_listen: " << ip << ":" << p.peer << "\n  metrics_listen: " << ip << ":" << p.metrics << "\n  seeds: [ " << settings.seeds
                              << " ]\n  seed_port: " << p.peer << "\n  store: " << settings.store << "\n  configuration_limit_ms: 2000\n  drain_limit_ms: 2000\n  cpu_cores: 0.25\n  memory_limit_mb: 110\n  descriptor_limit: 4100\n"
                              << "  stop_grace_s: 8\n  session_s: 5\n  repeat_ratio: 0.9\n  repeat_window_s: 10\n  repeat_headroom: 56\n";
    start();
}

Instance::~Instance() { killAndWait(); }

void Instance::start()
{
    const char* program = std::getenv("DAEMON");
    std::string path = program ? program : "target/skylarkhitchd";
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    // Ends with the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::execl(path.c_str(), path.c_str(), "--settings", m_settings.c_str(), nullptr);
    ::_exit(127);
}

void Instance::signal(int number)
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Instance::killAndWait()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

bool Instance::hasEnded()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = -1;
    return m_pid <= 0;
}

std::string Instance::peerAddress() const { return absl::StrCat(m_ip, ":", ports().peer); }

std::unique_ptr<RawConnection> Instance::connectTo(int port) const
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf(m_ip, port);
    if (fd < 0 || ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<RawConnection>(fd);
}

std::unique_ptr<RawConnection> Instance::connect() const { return connectTo(ports().entry); }

bool Instance::awaitReady(std::chrono::milliseconds time)
{
    return waitUntil(time, [&] {
        auto connection = connectTo(ports().ready);
        return connection && connection->write("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n") && statusOf(connection->readResponse(1s)) == 200;
    });
}

CrashableUpstream::CrashableUpstream(std::string id, Script script)
    : m_id(std::move(id))
    , m_script(std::move(script))
{
    listen();
}

CrashableUpstream::~CrashableUpstream()
{
    crash(m_process);
    // No thread starts another one once the process has ended.
    for (std::size_t n = 0; n < m_threads.size(); ++n)
        m_threads[n].join();
}

std::string CrashableUpstream::address() const { return absl::StrCat("127.0.0.1:", m_port); }

void CrashableUpstream::listen()
{
    std::lock_guard lock(m_mutex);
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = addressOf("127.0.0.1", m_port);
    socklen_t size = sizeof address;
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(m_listener, SOMAXCONN) != 0)
        std::cerr << m_id << " cannot listen\n";
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_isUp = true;
    m_threads.emplace_back([this, listener = m_listener, process = m_process.load()] { accept(listener, process); });
}

void CrashableUpstream::accept(int listener, std::int64_t process)
{
    for (;;) {
        int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            break;
        auto connection = std::make_shared<RawConnection>(fd);
        std::lock_guard lock(m_mutex);
        if (!isRunning(process)) {
            connection->reset();
            break;
        }
        std::erase_if(m_connections, [](const auto& it) { return it.expired(); });
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection, process] {
            while (isRunning(process)) {
                auto request = connection->readRequest();
                if (!request || !isRunning(process) || !m_script(*request, *connection, process))
                    break;
            }
            if (!isRunning(process))
                connection->reset();
        });
    }
    ::close(listener);
}

bool CrashableUpstream::crash(std::int64_t process)
{
    std::vector<std::shared_ptr<RawConnection>> open;
    {
        std::lock_guard lock(m_mutex);
        if (!isRunning(process))
            return false;
        m_isUp = false;
        ::shutdown(m_listener, SHUT_RDWR);
        for (auto& it : m_connections) {
            if (auto connection = it.lock())
                open.push_back(connection);
        }
        m_connections.clear();
    }
    for (auto& it : open)
        it->reset();
    return true;
}

void CrashableUpstream::restart()
{
    ++m_process;
    listen();
}

Json configuration(std::int64_t version)
{
    auto route = [](const char* name, const char* kind, const char* service, int timeout, int target, int rank) {
        return Json { { "name", name }, { "hostname", "a.example" }, { "prefix", absl::StrCat("/", name, "/") }, { "routeType", kind }, { "timeoutMs", timeout }, { "targetLatencyMs", target }, { "priority", rank }, { "backend", service }, { "maxAttempts", 3 }, { "anonymous", false } };
    };
    auto draft = route("draft", "streaming", "assist", 20000, 1000, 0);
    draft["streamResume"] = true;
    draft["sessionAffinity"] = true;
    draft["gapAimMs"] = 800;
    // As `draft`, but such a stream may not be resumed.
    auto letter = route("letter", "streaming", "assist", 20000, 1000, 0);
    letter["sessionAffinity"] = true;
    letter["gapAimMs"] = 800;
    Json engine { { "capacity", 64 }, { "kvCapacity", 484470 }, { "stride", 6 }, { "models", { { { "name", "m1" }, { "cost", 0.16 } } } } };
    return { { "version", version }, { "routes", { route("status", "idempotent", "orders", 1500, 150, 2), route("booking", "non_idempotent", "orders", 1500, 150, 2), draft, letter } },
        { "backends", { { { "name", "orders" }, { "healthPath", "/healthz" }, { "maxConnections", 110 } }, { { "name", "assist" }, { "healthPath", "/healthz" }, { "maxConnections", 370 }, { "engine", engine } } } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", { { { "name", "design" }, { "apiKeys", { "key-1" } }, { "priority", 1 } } } } };
}

std::string registration(const std::string& address, const std::string& service, std::int64_t writes, const std::string& state, std::int64_t born, int capacity)
{
    return Json { { "backend", service }, { "address", address }, { "zone", "halle-a" }, { "version", "v1" }, { "capacity", capacity }, { "state", state }, { "coldRemainingMs", 0 }, { "stage", "colocated" }, { "models", { { { "name", "m1" }, { "version", 1 }, { "adapters", Json::array() } } } }, { "seq", writes }, { "born", born } }.dump();
}

std::string requestBytes(const std::string& method, const std::string& target, const std::string& id, std::chrono::milliseconds timeout, const std::string& fields, const std::string& body)
{
    auto length = method == "GET" ? std::string() : absl::StrCat("Content-Length: ", body.size(), "\r\n");
    return absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", id, "\r\nX-Deadline-Ms: ", timeout.count(), "\r\nApi-Key: key-1\r\n", fields, length, "\r\n", body);
}

int statusOf(const std::string& response) { return response.size() < 12 ? 0 : std::atoi(response.c_str() + 9); }

bool isWholeStream(const std::string& response) { return statusOf(response) == 200 && absl::EndsWith(response, "\r\n0\r\n\r\n"); }

bool waitUntil(std::chrono::milliseconds time, const std::function<bool()>& condition)
{
    for (auto end = Clock::now() + time; !condition();) {
        if (Clock::now() > end)
            return false;
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

}
