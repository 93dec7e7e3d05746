#pragma once

// A small deployment on loopback for the cases of the review: entry instances that run as processes of the deploy file's command, and
// upstreams that run as processes too, so that they can be killed, stopped and continued. The store is the project's own stand-in.

#include "fakes/fleet_standin.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// Exit codes of a case.
constexpr int held = 0, broken = 1, notRun = 2;

// Whether the case runs with its disruption.
bool hasTrouble();

// Appends lines, with the time since the start, to the record of the case.
void record(const std::string& line);
void openRecord(const std::string& path);

// A child process; the destructor kills it. Its standard output is recorded, and can be waited for.
class Process {
public:
    // Starts a program. Lines of its output that begin with "#" go to the record.
    Process(const std::vector<std::string>& command, const std::string& name);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t pid() const { return m_pid; }
    void signal(int number) const;
    // Kills the process and waits for its end.
    void kill();
    bool isRunning() const;
    // Waits until a line of the output contains the text.
    bool awaitLine(const std::string& text, std::chrono::milliseconds time);
    std::vector<std::string> linesWith(const std::string& text);
    // Resident memory in bytes; 0 if the process has ended.
    std::int64_t residentBytes() const;

private:
    void readOutput();

    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_name;
    std::mutex m_mutex;
    std::vector<std::string> m_lines;
    std::thread m_reader;
};

// Free ports on loopback.
std::vector<int> freePorts(std::size_t count);

// An entry instance that runs with the command of the deploy file, in the repository's root.
class Entry {
public:
    Entry(std::string name, std::string domain, std::string store, const std::vector<int>& ports, const std::vector<std::string>& seeds);
    ~Entry();

    void start();
    Process& process() { return *m_process; }
    bool isReady() const;
    int port() const { return m_ports[0]; }
    const std::string& name() const { return m_name; }

private:
    std::string m_name;
    std::vector<int> m_ports;
    std::string m_settings;
    std::unique_ptr<Process> m_process;
};

bool waitUntil(std::chrono::milliseconds time, const std::function<bool()>& condition);

// The entry of an upstream in the store.
std::string registration(const std::string& service, int port, std::int64_t born, int capacity = 6, const std::string& release = "v1");

// What a client received on its connection.
struct Answer {
    int status = 0;
    std::string head;
    std::string body;
    // The answer is complete by its own framing.
    bool isComplete = false;
    // The connection ended before the answer was complete.
    bool isClosed = false;
    std::string field(const std::string& name) const;
};

// A client's connection. Sends bytes and reads answers that have a length or chunks.
class Client {
public:
    explicit Client(int port);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    bool isOpen() const { return m_fd >= 0; }
    bool send(std::string_view bytes) const;
    Answer read(std::chrono::milliseconds time);
    void close();

private:
    int m_fd = -1;
    std::string m_input;
};

std::string requestBytes(const std::string& method, const std::string& target, const std::string& id, const std::string& extraHeaders, const std::string& body, std::chrono::milliseconds timeout);

// Blocking input of a server's connection.
bool readHead(int fd, std::string& input, std::string& head);
std::string headField(const std::string& head, const std::string& name);
bool sendAll(int fd, std::string_view bytes);

// Prints a line to standard output at once.
void say(const std::string& line);

}
