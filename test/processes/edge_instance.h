#pragma once

// One entry instance as a real process on loopback, with its settings and its output in files.

#include "fakes/loopback_server.h"
#include "processes/child_process.h"

#include <absl/strings/str_cat.h>

namespace skylarkhitch {

class EdgeInstance {
public:
    // Seeds are peers' addresses, separated by commas.
    EdgeInstance(const std::string& name, const std::string& store, const std::string& seeds = {});
    ~EdgeInstance();

    // Starts the process anew once it has ended or was killed; the ports stay. Its output follows that of earlier lives.
    void restart();
    // Ends the process at once.
    void kill();
    // Nothing if there is no process at present.
    void signal(int number) const;

    int port() const { return m_entry; }
    std::string peers() const { return absl::StrCat("127.0.0.1:", m_peers); }
    ChildProcess& process() { return *m_process; }

    bool isReady() const;
    // The answer of the directory.
    std::string directory() const;
    std::string metrics() const;
    // Leaves the output's file where it is, and returns its path.
    std::string keepOutput();
    // Lines of the output that hold a text.
    std::vector<std::string> lines(const std::string& text) const;

private:
    std::string get(int port, const std::string& target) const;

    int m_entry, m_ready, m_directory, m_peers, m_metrics;
    std::string m_path;
    bool m_keepsOutput = false;
    std::unique_ptr<ChildProcess> m_process;
};

// Polls a condition; false if it does not hold within the time.
template <typename Condition>
bool within(std::chrono::milliseconds time, Condition condition)
{
    auto end = std::chrono::steady_clock::now() + time;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

// The status of an answer's bytes; 0 if there is none.
int statusOf(const std::string& answer);

}
