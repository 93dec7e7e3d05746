#pragma once

// A small deployment for the cases of the review: the store and the upstreams are stand-ins in this process, and the entry
// instances are processes of the daemon, started with the command of the deploy file.

#include "fakes/fleet_standin.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/types.h>
#include <thread>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using skylarkhitch::standin::FleetStore;
using skylarkhitch::standin::RawConnection;
using skylarkhitch::standin::RawRequest;
using skylarkhitch::standin::ScriptedUpstream;

// Exit codes of a case.
constexpr int held = 0, broken = 1, couldNotRun = 2;

// Whether the disruption takes place; the variable TROUBLE=0 leaves it out.
bool hasTrouble();

// Writes lines with the time since the start of the case to record.txt in the folder of the case.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);
    double seconds(Clock::time_point) const;

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_start = Clock::now();
};

// A folder for settings and logs, removed at the end.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

struct InstanceSettings {
    std::string store;
    std::string seeds;
    std::string domain = "halle-a";
};

// An entry instance on a loopback address of its own.
class Instance {
public:
    Instance(const TemporaryFolder&, std::string name, const std::string& ip, const InstanceSettings&);
    ~Instance();
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    void start();
    // Sends a signal to the process.
    void signal(int);
    void killAndWait();
    // Whether the process has ended without a signal from here.
    bool hasEnded();
    bool awaitReady(std::chrono::milliseconds);
    const std::string& name() const { return m_name; }
    std::string ip() const { return m_ip; }
    std::string peerAddress() const;
    std::string logPath() const { return m_log; }

    // Opens a connection as a caller does; null if that fails.
    std::unique_ptr<RawConnection> connect() const;

private:
    std::unique_ptr<RawConnection> connectTo(int port) const;

    std::string m_name;
    std::string m_ip;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

// An upstream whose process can crash: its listener closes, its connections are reset, and a later start on the same address is another
// process.
class CrashableUpstream {
public:
    // Handles one request of the process with this number; returns whether to keep the connection open.
    using Script = std::function<bool(const RawRequest&, RawConnection&, std::int64_t process)>;

    CrashableUpstream(std::string id, Script);
    ~CrashableUpstream();

    const std::string& id() const { return m_id; }
    std::string address() const;
    // The number of the running process, or of the last one.
    std::int64_t process() const { return m_process; }
    bool isRunning(std::int64_t process) const { return m_isUp && m_process == process; }
    // Ends the process with this number, unless it has ended. Returns whether it had not.
    bool crash(std::int64_t process);
    void restart();

private:
    void listen();
    void accept(int listener, std::int64_t process);

    std::string m_id;
    Script m_script;
    std::mutex m_mutex;
    int m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_isUp = false;
    std::atomic<std::int64_t> m_process = 1;
    std::vector<std::weak_ptr<RawConnection>> m_connections;
    std::vector<std::thread> m_threads;
};

// Ports of the instances, the same on all of them. Taken from those that are free on all addresses.
struct Ports {
    int entry = 0, ready = 0, directory = 0, peer = 0, metrics = 0;
};
const Ports& ports();

// A configuration as operators write it, with the routes of a small deployment: `draft` (streaming, may be resumed), `letter` (streaming, may not), `booking` (non_idempotent) and
// `status` (idempotent).
Json configuration(std::int64_t version);

// The entry of an upstream in the store.
std::string registration(const std::string& address, const std::string& service, std::int64_t writes, const std::string& state = "ready", std::int64_t born = 1, int capacity = 64);

// The bytes of a caller's request.
std::string requestBytes(const std::string& method, const std::string& target, const std::string& id, std::chrono::milliseconds timeout, const std::string& fields = {}, const std::string& body = {});

// Status of a response; 0 if there is none.
int statusOf(const std::string& response);
// Whether a chunked response came with its last chunk.
bool isWholeStream(const std::string& response);

bool waitUntil(std::chrono::milliseconds, const std::function<bool()>&);

}
