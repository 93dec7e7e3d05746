#pragma once

// A program that a test starts and ends.

#include "core/ids.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace skylarkhitch {

// A child process; killed when the object goes.
class ChildProcess {
public:
    // Starts a program and reads the first line that it prints.
    explicit ChildProcess(const std::vector<std::string>& command);
    // Starts a program whose output is appended to a file.
    ChildProcess(const std::vector<std::string>& command, const std::string& outputPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    const std::string& firstLine() const { return m_firstLine; }
    void signal(int number) const;
    // The exit status, once it has ended; nothing if it runs on after the time.
    std::optional<int> waitForExit(Seconds);

private:
    // Starts the program with its output in a descriptor.
    void start(const std::vector<std::string>& command, int output);

    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_firstLine;
};

}
