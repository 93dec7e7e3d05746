#pragma once

#include "core/ids.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace skylarkhitch {

// A child process of a test; the destructor kills it.
class ChildProcess {
public:
    // Starts a program, given by its path and arguments, and reads the first line of its standard output.
    explicit ChildProcess(const std::vector<std::string>& command);
    // Starts a program and appends its standard output to a file.
    ChildProcess(const std::vector<std::string>& command, const std::string& outputPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    const std::string& firstLine() const { return m_firstLine; }
    pid_t pid() const { return m_pid; }
    void signal(int number) const;
    // Waits for the process to exit and returns its exit status, or -1 after a signal; no value on timeout.
    std::optional<int> waitForExit(Seconds);
    // Returns the same as waitForExit() without waiting. Does not reap the process, so waitForExit() still returns its status.
    std::optional<int> exitStatus() const;
    // The signal that ended the process, also without waiting; no value if it runs or exited.
    std::optional<int> endingSignal() const;

private:
    // Starts the program with its standard output redirected to a descriptor.
    void start(const std::vector<std::string>& command, int output);

    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_firstLine;
};

}
