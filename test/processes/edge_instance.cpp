#include "processes/edge_instance.h"

#include <absl/strings/match.h>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

namespace skylarkhitch {

namespace {

    constexpr std::chrono::seconds responseTimeout { 2 };

    // Returns a port from a block that belongs to this test process. Tests run in parallel, so a port found to be free could
    // be taken by another test before it is bound. Processes whose ids are equal modulo `blocks` share a block. The blocks are
    // below the kernel's ephemeral port range.
    int nextTestPort()
    {
        constexpr int firstPort = 12000, blocks = 800, portsInBlock = 25;
        static int next = 0;
        return firstPort + static_cast<int>(::getpid() % blocks) * portsInBlock + next++ % portsInBlock;
    }

}

EdgeInstance::EdgeInstance(const std::string& name, const std::string& store, const std::string& seeds)
    : m_entryPort(nextTestPort())
    , m_readyPort(nextTestPort())
    , m_directoryPort(nextTestPort())
    , m_peerPort(nextTestPort())
    , m_metricsPort(nextTestPort())
    , m_path(absl::StrCat("/tmp/skylarkhitch-edge-", ::getpid(), "-", name))
{
    std::ofstream(m_path + ".yaml") << "edge:\n  instance: " << name << "\n  domain: halle-a\n  entry_listen: 127.0.0.1:" << m_entryPort << "\n  ready_listen: 127.0.0.1:" << m_readyPort
                                    << "\n  directory_listen: 127.0.0.1:" << m_directoryPort << "\n  peer_listen: 127.0.0.1:" << m_peerPort << "\n  metrics_listen: 127.0.0.1:" << m_metricsPort
                                    << "\n  store: " << store << "\n  stop_grace_s: 4\n  seeds: [ " << seeds << " ]\n";
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
    m_process = std::make_unique<ChildProcess>(std::vector<std::string> { SKYLARKHITCH_BINARY_DIR "/skylarkhitchd", "--settings", m_path + ".yaml" }, m_path + ".log");
}

void EdgeInstance::addSetting(const std::string& line) const { std::ofstream(m_path + ".yaml", std::ios::app) << "  " << line << "\n"; }

void EdgeInstance::kill() { m_process.reset(); }

void EdgeInstance::signal(int number) const
{
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

bool EdgeInstance::isReady() const { return absl::StartsWith(get(m_readyPort, "/-/readyz"), "HTTP/1.1 200"); }

std::string EdgeInstance::directoryResponse() const { return get(m_directoryPort, "/-/resolve?name=a.example&zone=halle-a"); }

std::string EdgeInstance::metrics() const { return get(m_metricsPort, "/metrics"); }

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
