#pragma once

// An entry instance that runs as a real process on loopback, with its settings and its standard output in files.

#include "fakes/loopback_server.h"
#include "processes/child_process.h"

#include <absl/strings/str_cat.h>
#include <cstdint>

namespace skylarkhitch {

// Consecutive ports that no other test process uses at the same time, as long as the object exists.
class TestPorts {
public:
    static constexpr int count = 5;

    TestPorts();
    ~TestPorts();
    TestPorts(const TestPorts&) = delete;
    TestPorts& operator=(const TestPorts&) = delete;

    int operator[](int n) const { return m_first + n; }

private:
    // A socket with a name that stands for the ports; the kernel frees the name when the process ends.
    int m_claim = -1;
    int m_first = 0;
};

class EdgeInstance {
public:
    // Usual time from SIGTERM until the platform would kill the process.
    static constexpr std::chrono::seconds stopGrace { 4 };

    // Writes the settings and starts the process. `store` is the store's address; `seeds` holds comma-separated peer addresses.
    EdgeInstance(const std::string& name, const std::string& store, const std::string& seeds = {}, std::chrono::seconds grace = stopGrace);
    ~EdgeInstance();

    // Kills the process if it runs and starts it again with the same ports; appends to the output of earlier runs.
    void restart();
    // Adds a line to the settings, which a running process reads again after SIGHUP.
    void addSetting(const std::string& line) const;
    // Kills the process with SIGKILL.
    void kill();
    // Sends a signal to the process; does nothing if none is running.
    void signal(int number);

    const std::string& name() const { return m_name; }
    std::chrono::seconds grace() const { return m_grace; }
    // Number of times that this object started the process.
    std::int64_t starts() const { return m_starts; }
    // Number of times that the process ended by itself: without a signal from this object, or with a failure after SIGTERM. A process
    // that has logged nothing yet may end by SIGTERM itself, as any program does that does not handle signals yet.
    std::int64_t ownEnds() const { return m_ownEnds + (hasEndedByItself() ? 1 : 0); }

    int port() const { return m_ports[entryPort]; }
    std::string peerAddress() const { return absl::StrCat("127.0.0.1:", m_ports[peerPort]); }
    ChildProcess& process() { return *m_process; }

    bool isReady() const;
    // The response of the directory listener for host a.example in zone halle-a.
    std::string directoryResponse() const;
    std::string metrics() const;
    // Keeps the output file when the object is destroyed, and returns its path.
    std::string keepOutput();
    // Lines of the output that contain the text.
    std::vector<std::string> linesContaining(const std::string& text) const;

private:
    static constexpr int entryPort = 0, readyPort = 1, directoryPort = 2, peerPort = 3, metricsPort = 4;

    std::string get(int port, const std::string& target) const;
    bool hasEndedByItself() const;
    std::uintmax_t outputSize() const;

    TestPorts m_ports;
    std::string m_name;
    std::string m_path;
    std::chrono::seconds m_grace;
    bool m_keepsOutput = false;
    bool m_isStopping = false;
    // Size of the output when the process was started.
    std::uintmax_t m_outputAtStart = 0;
    std::int64_t m_starts = 0;
    std::int64_t m_ownEnds = 0;
    std::unique_ptr<ChildProcess> m_process;
};

// Polls a condition until it holds; returns false on timeout.
template <typename Condition>
bool waitUntil(std::chrono::milliseconds time, Condition condition)
{
    auto end = std::chrono::steady_clock::now() + time;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

// The status code of a raw HTTP response, or 0 if there is none.
int statusOf(const std::string& response);

}
