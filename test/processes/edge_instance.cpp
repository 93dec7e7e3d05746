#include "processes/edge_instance.h"

#include "core/check.h"

#include <absl/strings/match.h>
#include <algorithm>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sys/socket.h>
#include <sys/un.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace skylarkhitch {

namespace {

    constexpr std::chrono::seconds responseTimeout { 2 };

}

// Tests run in parallel, so a port found to be free could be taken by another test before it is bound. The ports are below the
// kernel's ephemeral port range.
TestPorts::TestPorts()
{
    constexpr int firstPort = 12000, blocks = 4000;
    static int next = static_cast<int>(::getpid() % (blocks / count)) * count;
    for (int tries = 0; tries < blocks && m_claim < 0; ++tries) {
        auto block = next++ % blocks;
        auto name = absl::StrCat("skylarkhitch-test-ports-", block);
        sockaddr_un address {};
        address.sun_family = AF_UNIX;
        // A name that starts with a zero byte is not in the file system.
        std::copy(name.begin(), name.end(), address.sun_path + 1);
        auto size = offsetof(sockaddr_un, sun_path) + 1 + name.size();
        m_claim = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
        m_first = firstPort + block * count;
        if (::bind(m_claim, reinterpret_cast<sockaddr*>(&address), static_cast<socklen_t>(size)) != 0)
            ::close(std::exchange(m_claim, -1));
    }
    USAGE_CHECK(m_claim >= 0) << "all ports for tests are in use";
}

TestPorts::~TestPorts() { ::close(m_claim); }

EdgeInstance::EdgeInstance(const std::string& name, const std::string& store, const std::string& seeds, std::chrono::seconds grace)
    : m_name(name)
    , m_path(absl::StrCat("/tmp/skylarkhitch-edge-", ::getpid(), "-", m_ports[entryPort], "-", name))
    , m_grace(grace)
{
    std::ofstream(m_path + ".yaml") << "edge:\n  instance: " << name << "\n  domain: halle-a\n  entry_listen: 127.0.0.1:" << m_ports[entryPort] << "\n  ready_listen: 127.0.0.1:" << m_ports[readyPort]
                                    << "\n  directory_listen: 127.0.0.1:" << m_ports[directoryPort] << "\n  peer_listen: 127.0.0.1:" << m_ports[peerPort] << "\n  metrics_listen: 127.0.0.1:" << m_ports[metricsPort]
                                    << "\n  store: " << store << "\n  stop_grace_s: " << m_grace.count() << "\n  seeds: [ " << seeds << " ]\n";
    ::unlink((m_path + ".log").c_str());
    restart();
}

EdgeInstance::~EdgeInstance()
{
    m_process.reset();
    ::unlink((m_path + ".yaml").c_str());
    if (!m_keepsOutput)
        ::unlink((m_path + ".log").c_str());
}

std::string EdgeInstance::keepOutput()
{
    m_keepsOutput = true;
    return m_path + ".log";
}

void EdgeInstance::restart()
{
    kill();
    m_isStopping = false;
    ++m_starts;
    m_outputAtStart = outputSize();
    m_process = std::make_unique<ChildProcess>(std::vector<std::string> { SKYLARKHITCH_BINARY_DIR "/skylarkhitchd", "--settings", m_path + ".yaml" }, m_path + ".log");
}

void EdgeInstance::addSetting(const std::string& line) const { std::ofstream(m_path + ".yaml", std::ios::app) << "  " << line << "\n"; }

void EdgeInstance::kill()
{
    m_ownEnds += hasEndedByItself() ? 1 : 0;
    m_process.reset();
}

bool EdgeInstance::hasEndedByItself() const
{
    auto status = m_process ? m_process->exitStatus() : std::nullopt;
    bool isEndedBySignal = status && m_isStopping && m_process->endingSignal() == SIGTERM && outputSize() == m_outputAtStart;
    return status && (!m_isStopping || *status != 0) && !isEndedBySignal;
}

std::uintmax_t EdgeInstance::outputSize() const
{
    std::error_code ec;
    auto size = std::filesystem::file_size(m_path + ".log", ec);
    return ec ? 0 : size;
}

void EdgeInstance::signal(int number)
{
    m_isStopping = m_isStopping || number == SIGTERM;
    if (m_process)
        m_process->signal(number);
}

std::string EdgeInstance::get(int port, const std::string& target) const
{
    auto connection = standin::RawConnection::connect(port);
    if (!connection)
        return {};
    connection->write(absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: x\r\n\r\n"));
    return connection->readResponse(responseTimeout);
}

bool EdgeInstance::isReady() const { return absl::StartsWith(get(m_ports[readyPort], "/-/readyz"), "HTTP/1.1 200"); }

std::string EdgeInstance::directoryResponse() const { return get(m_ports[directoryPort], "/-/resolve?name=a.example&zone=halle-a"); }

std::string EdgeInstance::metrics() const { return get(m_ports[metricsPort], "/metrics"); }

std::vector<std::string> EdgeInstance::linesContaining(const std::string& text) const
{
    std::vector<std::string> found;
    std::ifstream in(m_path + ".log");
    for (std::string line; std::getline(in, line);) {
        if (absl::StrContains(line, text))
            found.push_back(line);
    }
    return found;
}

int statusOf(const std::string& response) { return response.size() < 12 ? 0 : std::atoi(response.c_str() + 9); }

}
