#include "processes/child_process.h"

#include "core/check.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace skylarkhitch {

namespace {

    constexpr Milliseconds exitCheckPeriod { 30 };

    // Reads the first line, at most 4096 bytes; stops at end of file, so that a child that fails at once does not hang the test.
    std::string readLine(int fd)
    {
        std::string line;
        char c = 0;
        while (line.size() < 4096 && ::read(fd, &c, 1) == 1 && c != '\n')
            line += c;
        return line;
    }

    // How a process ended; leaves it to be waited for.
    std::optional<siginfo_t> endOf(pid_t pid)
    {
        siginfo_t info {};
        if (pid <= 0 || waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) != 0 || info.si_pid != pid)
            return std::nullopt;
        return info;
    }

}

ChildProcess::ChildProcess(const std::vector<std::string>& command)
{
    int pipeEnds[2];
    USAGE_CHECK(pipe2(pipeEnds, O_CLOEXEC) == 0) << "cannot create a pipe";
    start(command, pipeEnds[1]);
    ::close(pipeEnds[1]);
    m_output = pipeEnds[0];
    m_firstLine = readLine(m_output);
}

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& outputPath)
{
    int file = ::open(outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    USAGE_CHECK(file >= 0) << "cannot open the output file " << outputPath;
    start(command, file);
    ::close(file);
}

void ChildProcess::start(const std::vector<std::string>& command, int output)
{
    std::vector<char*> arguments;
    for (const auto& it : command)
        arguments.push_back(const_cast<char*>(it.c_str()));
    arguments.push_back(nullptr);
    auto parent = ::getpid();
    m_pid = fork();
    if (m_pid != 0)
        return;
    // Kills the child when the test process dies.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        _exit(127);
    dup2(output, STDOUT_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
}

ChildProcess::~ChildProcess()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    if (m_output >= 0)
        ::close(m_output);
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

std::optional<int> ChildProcess::waitForExit(Seconds time)
{
    auto end = std::chrono::steady_clock::now() + time;
    while (m_pid > 0 && std::chrono::steady_clock::now() < end) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(exitCheckPeriod);
    }
    return std::nullopt;
}

std::optional<int> ChildProcess::exitStatus() const
{
    auto info = endOf(m_pid);
    if (!info)
        return std::nullopt;
    return info->si_code == CLD_EXITED ? info->si_status : -1;
}

std::optional<int> ChildProcess::endingSignal() const
{
    auto info = endOf(m_pid);
    return info && info->si_code != CLD_EXITED ? std::optional(info->si_status) : std::nullopt;
}

}
