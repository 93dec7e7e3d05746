#pragma once

// Fakes for a platform that declares routes: its store, with the public API, and scripted upstreams.

#include "fakes/loopback_server.h"

#include <condition_variable>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace skylarkhitch::standin {

// A fault of the store; it stays in effect until another one is set.
enum class StoreFault { None,
    // Responds with 503.
    Busy,
    // Never responds.
    Silent,
    // Executes POST calls and closes the connection without a response.
    DropsResponses,
    // Delays each range read by slowReadTime; other calls get an immediate response.
    SlowReads,
    // Responds with 429 to every second range read.
    RateLimitedReads,
    // Responds with 412 to the first transaction and every second one after it, as if another writer had won the race.
    Conflicts };

constexpr std::chrono::milliseconds slowReadTime { 200 };

class FleetStore {
public:
    FleetStore();

    std::string address() const { return m_server.address(); }
    // A second address of the same store with a separate fault, to fail the store for some instances only.
    std::string secondAddress() const { return m_secondServer.address(); }

    std::int64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::optional<std::string> find(const std::string& key);
    // Compacts the history: watches from an earlier revision get 410.
    void compactHistory();
    // Closes the connections of pending watches.
    void cutWatches();
    void setFault(StoreFault);
    void setSecondFault(StoreFault);
    // Sets the maximum number of items in a range read response.
    void setPageSize(std::size_t items) { m_pageSize = items; }
    std::int64_t calls() const { return m_calls; }

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
    };
    struct Change {
        std::string key;
        std::int64_t revision = 0;
        std::optional<std::string> value;
    };

    bool serve(const RawRequest&, RawConnection&, std::atomic<StoreFault>&);
    std::string execute(const RawRequest&);
    std::string readRange(const std::string& prefix, const std::string& after);
    std::string watch(const RawRequest&);
    std::string commit(const nlohmann::json&);
    std::int64_t write(const std::string& key, std::optional<std::string> value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_history;
    std::int64_t m_revision = 10;
    std::int64_t m_compactedRevision = 0;
    std::int64_t m_leases = 0;
    std::atomic<std::int64_t> m_calls = 0;
    std::atomic<std::int64_t> m_reads = 0;
    std::atomic<std::int64_t> m_commits = 0;
    // Number of cutWatches calls; a pending watch closes its connection when this changes.
    std::int64_t m_watchCuts = 0;
    std::atomic<std::size_t> m_pageSize = 500;
    std::atomic<StoreFault> m_fault = StoreFault::None;
    std::atomic<StoreFault> m_secondFault = StoreFault::None;
    LoopbackServer m_server;
    LoopbackServer m_secondServer;
};

// An upstream that records its requests and handles them with a replaceable function.
class ScriptedUpstream {
public:
    using Script = std::function<bool(const RawRequest&, RawConnection&)>;

    ScriptedUpstream(std::string id, Script);

    const std::string& id() const { return m_id; }
    int port() const { return m_server.port(); }
    std::string registration(const std::string& service, const std::string& state = "ready", const std::string& release = "v1") const;
    void setScript(Script);
    std::vector<RawRequest> received();
    std::size_t count();

private:
    std::string m_id;
    std::mutex m_mutex;
    Script m_script;
    std::vector<RawRequest> m_received;
    LoopbackServer m_server;
};

ScriptedUpstream::Script respondWith(const std::string& body);
// Sends a stream of `events` events with a pause after each, starting after the request's Last-Event-Id, if any.
ScriptedUpstream::Script streamEvents(int events, std::chrono::milliseconds pause, int confidence = 100);

// Returns a configuration in the platform's format with one route of each kind on host a.example and one team.
std::string sampleConfiguration(std::int64_t version, const std::string& key = "key-1");

}
