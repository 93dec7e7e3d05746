#pragma once

// A small deployment on loopback for the cases of this review: the platform's store, and entry instances as separate processes, each
// on an address of its own, with the command of deploy/system.toml and settings made from platform/settings.yaml.template. The
// bounds are those of sites/magtack-router.toml.

#include "fakes/fleet_standin.h"
#include "processes/child_process.h"

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using skylarkhitch::standin::FleetStore;
using skylarkhitch::standin::RawConnection;
using skylarkhitch::standin::RawRequest;

constexpr auto contactTime = 3000ms;
constexpr auto stopGrace = 8s;

// Exit codes of a case.
constexpr int ruleHeld = 0, ruleBroken = 1, couldNotRun = 2;

// Whether the disruption is to be brought about: the environment variable TROUBLE is not 0.
bool hasTrouble();

// Writes lines with the time since the start to record.txt of the case's folder.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

// One entry instance.
class Instance {
public:
    // The address is 127.0.0.NUMBER; `firstPort` is the first of the ports that all instances use.
    Instance(const std::string& directory, int number, int firstPort, const std::string& store, const std::string& seeds, Record&);
    ~Instance();

    void start();
    // SIGKILL, and waits for the end.
    void kill();
    void signal(int number);
    bool isReady() const;
    const std::string& name() const { return m_name; }
    const std::string& ip() const { return m_ip; }
    int entryPort() const { return m_firstPort; }
    // When the process was started last.
    Clock::time_point startedAt() const { return m_startedAt; }
    // Whether the process has ended without a signal from this object.
    bool hasEnded() const;

private:
    std::string m_name;
    std::string m_ip;
    int m_firstPort;
    std::string m_settings;
    std::string m_log;
    Record& m_record;
    Clock::time_point m_startedAt {};
    std::unique_ptr<skylarkhitch::ChildProcess> m_process;
};

// A temporary folder and instances in it.
class Deployment {
public:
    // One instance for each address of the store. Does not start them.
    Deployment(Record&, const std::vector<std::string>& stores);
    ~Deployment();

    std::vector<std::unique_ptr<Instance>> instances;
    void startAll();
    // Waits until all instances are ready.
    bool awaitReady(std::chrono::milliseconds) const;
    const std::string& directory() const { return m_directory; }

private:
    std::string m_directory;
};

// Connects to an address; returns null if that fails.
std::unique_ptr<RawConnection> connectTo(const std::string& ip, int port);

// Polls a condition until it holds; returns false on timeout.
bool waitUntil(std::chrono::milliseconds, const std::function<bool()>&);

// The status code of a raw HTTP response, or 0 if there is none.
int statusOf(const std::string& response);

// A response of an upstream with the fields that every response to this request has.
std::string answerTo(const RawRequest&, int status, const std::string& body, const std::string& extraFields = {});

// A route in the form of the platform's configuration.
nlohmann::json route(const std::string& name, const std::string& kind, const std::string& service, int timeoutMs, int targetMs);
// A configuration with these routes, the services of the routes and one key, "key-1".
std::string configuration(std::int64_t version, const nlohmann::json& routes);
// The value of an upstream's entry in the store.
std::string registration(const std::string& service, const std::string& address, std::int64_t born, std::int64_t writes, int slots = 64);

}
