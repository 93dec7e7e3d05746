#include "site.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace review {

namespace {

    std::mutex recordMutex;
    std::ofstream recordFile;
    const auto startedAt = Clock::now();

    int connectTo(int port)
    {
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = skylarkhitch::standin::loopbackAddress(port);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
            return fd;
        ::close(fd);
        return -1;
    }

}

bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

void openRecord(const std::string& path) { recordFile.open(path, std::ios::trunc); }

void record(const std::string& line)
{
    std::lock_guard lock(recordMutex);
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startedAt).count();
    recordFile << ms << " ms  " << line << std::endl;
}

Process::Process(const std::vector<std::string>& command, const std::string& name)
    : m_name(name)
{
    int pipeEnds[2];
    if (::pipe2(pipeEnds, O_CLOEXEC) != 0)
        std::exit(notRun);
    std::vector<char*> arguments;
    for (const auto& it : command)
        arguments.push_back(const_cast<char*>(it.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    if (::posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ) != 0)
        m_pid = -1;
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipeEnds[1]);
    m_output = pipeEnds[0];
    m_reader = std::thread([this] { readOutput(); });
}

Process::~Process()
{
    kill();
    m_reader.join();
    ::close(m_output);
}

void Process::readOutput()
{
    std::string rest;
    char buf[65536];
    for (;;) {
        auto n = ::read(m_output, buf, sizeof buf);
        if (n <= 0)
            return;
        rest.append(buf, static_cast<std::size_t>(n));
        for (auto end = rest.find('\n'); end != std::string::npos; end = rest.find('\n')) {
            auto line = rest.substr(0, end);
            rest.erase(0, end + 1);
            if (absl::StartsWith(line, "#"))
                record(absl::StrCat(m_name, ": ", line.substr(1)));
            std::lock_guard lock(m_mutex);
            m_lines.push_back(std::move(line));
        }
    }
}

void Process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Process::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
}

bool Process::isRunning() const
{
    siginfo_t info {};
    return m_pid > 0 && ::waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == 0;
}

std::vector<std::string> Process::linesWith(const std::string& text)
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> found;
    for (const auto& it : m_lines) {
        if (absl::StrContains(it, text))
            found.push_back(it);
    }
    return found;
}

bool Process::awaitLine(const std::string& text, std::chrono::milliseconds time)
{
    return waitUntil(time, [&] { return !linesWith(text).empty(); });
}

std::int64_t Process::residentBytes() const
{
    std::ifstream in(absl::StrCat("/proc/", m_pid, "/statm"));
    std::int64_t total = 0, resident = 0;
    in >> total >> resident;
    return resident * ::sysconf(_SC_PAGESIZE);
}

// Below the kernel's range of ports for outgoing connections, so that none of those takes a port before the instance does.
std::vector<int> freePorts(std::size_t count)
{
    constexpr int first = 12000, last = 31000;
    static int next = first + static_cast<int>(::getpid() * 37 % (last - first));
    std::vector<int> ports;
    for (int tries = first; ports.size() < count && tries < last; ++tries) {
        next = next + 1 < last ? next + 1 : first;
        auto address = skylarkhitch::standin::loopbackAddress(next);
        bool isFree = true;
        for (int type : { SOCK_STREAM, SOCK_DGRAM }) {
            int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            isFree = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 && isFree;
            ::close(fd);
        }
        if (isFree)
            ports.push_back(next);
    }
    return ports;
}

// The settings are those of platform/settings.yaml.template for a machine of the small deployment.
Entry::Entry(std::string name, std::string domain, std::string store, const std::vector<int>& ports, const std::vector<std::string>& seeds)
    : m_name(std::move(name))
    , m_ports(ports)
{
    const char* directory = std::getenv("CASE_TMP");
    m_settings = absl::StrCat(directory ? directory : "/tmp", "/", m_name, ".yaml");
    auto address = [&](int n) { return absl::StrCat("127.0.0.1:", m_ports[static_cast<std::size_t>(n)]); };
    std::ofstream(m_settings) << "edge:\n  instance: " << m_name << "\n  domain: " << domain << "\n  entry_listen: " << address(0) << "\n  ready_listen: " << address(1)
                              << "\n  directory_listen: " << address(2) << "\n  peer_listen: " << address(3) << "\n  metrics_listen: " << address(4) << "\n  seeds: [ " << absl::StrJoin(seeds, ", ")
                              << " ]\n  seed_port: 0\n  store: " << store << "\n  configuration_limit_ms: 2000\n  drain_limit_ms: 2000\n  cpu_cores: 0.25\n  memory_limit_mb: 110\n  descriptor_limit: 4100\n"
                              << "  stop_grace_s: 8\n  session_s: 5\n  repeat_ratio: 0.9\n  repeat_window_s: 10\n  repeat_headroom: 56\n";
}

Entry::~Entry()
{
    m_process.reset();
    ::unlink(m_settings.c_str());
}

void Entry::start()
{
    m_process.reset();
    m_process = std::make_unique<Process>(std::vector<std::string> { "target/skylarkhitchd", "--settings", m_settings }, m_name);
}

bool Entry::isReady() const
{
    Client client(m_ports[1]);
    if (!client.isOpen() || !client.send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
        return false;
    return client.read(1s).status == 200;
}

bool waitUntil(std::chrono::milliseconds time, const std::function<bool()>& condition)
{
    auto end = Clock::now() + time;
    while (!condition()) {
        if (Clock::now() > end)
            return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

std::string registration(const std::string& service, int port, std::int64_t born, int capacity, const std::string& release)
{
    return nlohmann::json { { "backend", service }, { "address", absl::StrCat("127.0.0.1:", port) }, { "zone", "halle-a" }, { "version", release }, { "capacity", capacity }, { "state", "ready" }, { "coldRemainingMs", 0 }, { "seq", 1 }, { "born", born } }.dump();
}

std::string Answer::field(const std::string& name) const { return headField(head, name); }

Client::Client(int port)
    : m_fd(connectTo(port))
{
}

Client::~Client() { close(); }

void Client::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
}

bool Client::send(std::string_view bytes) const { return sendAll(m_fd, bytes); }

Answer Client::read(std::chrono::milliseconds time)
{
    Answer answer;
    auto end = Clock::now() + time;
    for (;;) {
        auto headEnd = m_input.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            answer.head = m_input.substr(0, headEnd + 4);
            answer.status = std::atoi(answer.head.c_str() + std::min<std::size_t>(9, answer.head.size()));
            auto rest = std::string_view(m_input).substr(headEnd + 4);
            if (absl::EqualsIgnoreCase(headField(answer.head, "Transfer-Encoding"), "chunked")) {
                answer.body.clear();
                std::size_t at = 0;
                while (!answer.isComplete) {
                    auto lineEnd = rest.find("\r\n", at);
                    if (lineEnd == std::string_view::npos)
                        break;
                    auto size = std::strtoul(std::string(rest.substr(at, lineEnd - at)).c_str(), nullptr, 16);
                    if (rest.size() < lineEnd + 2 + size + 2)
                        break;
                    answer.body += rest.substr(lineEnd + 2, size);
                    at = lineEnd + 2 + size + 2;
                    answer.isComplete = size == 0;
                }
                if (answer.isComplete) {
                    m_input.erase(0, headEnd + 4 + at);
                    return answer;
                }
            } else {
                std::size_t length = 0;
                static_cast<void>(absl::SimpleAtoi(headField(answer.head, "Content-Length"), &length));
                answer.body = rest.substr(0, length);
                if (rest.size() >= length) {
                    answer.isComplete = true;
                    m_input.erase(0, headEnd + 4 + length);
                    return answer;
                }
            }
        }
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
        pollfd it { m_fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0)
            return answer;
        char buf[65536];
        auto n = ::recv(m_fd, buf, sizeof buf, 0);
        if (n <= 0) {
            answer.isClosed = true;
            return answer;
        }
        m_input.append(buf, static_cast<std::size_t>(n));
    }
}

std::string requestBytes(const std::string& method, const std::string& target, const std::string& id, const std::string& extraHeaders, const std::string& body, std::chrono::milliseconds timeout)
{
    auto length = method == "GET" ? std::string() : absl::StrCat("Content-Length: ", body.size(), "\r\n");
    return absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", id, "\r\nX-Deadline-Ms: ", timeout.count(), "\r\nApi-Key: key-1\r\n", extraHeaders, length, "\r\n", body);
}

bool readHead(int fd, std::string& input, std::string& head)
{
    char buf[16384];
    for (;;) {
        auto end = input.find("\r\n\r\n");
        if (end != std::string::npos) {
            head = input.substr(0, end + 4);
            input.erase(0, end + 4);
            return true;
        }
        auto n = ::recv(fd, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        input.append(buf, static_cast<std::size_t>(n));
    }
}

std::string headField(const std::string& head, const std::string& name)
{
    for (auto line : absl::StrSplit(head, "\r\n")) {
        std::pair<std::string, std::string> field = absl::StrSplit(line, absl::MaxSplits(':', 1));
        if (absl::EqualsIgnoreCase(field.first, name))
            return std::string(absl::StripAsciiWhitespace(field.second));
    }
    return {};
}

bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

void say(const std::string& line)
{
    auto text = line + "\n";
    static_cast<void>(!::write(STDOUT_FILENO, text.data(), text.size()));
}

}
