#pragma once

// Fakes for tests of entry instances that read their routes and upstreams from the platform's store: the store, with its
// HTTP API, and scripted upstreams.

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
    // Executes POST calls and closes the connection without a response; other calls are not affected.
    DropsResponses,
    // Delays each range read by slowReadTime; other calls are not affected.
    SlowReads,
    // Responds with 429 to every second range read.
    RateLimitedReads,
    // Responds with 412 to the first, third, fifth, ... transaction, as if another writer had changed a key first.
    Conflicts };

constexpr std::chrono::milliseconds slowReadTime { 200 };
// A page of a range read has no further items once its values have this many bytes.
constexpr std::size_t maxPageBytes = std::size_t { 1 } << 20;

// What happens to pending watches when the store returns to an older copy.
enum class WatchEnd { Cut,
    // Their connections stay open, and nothing is sent on them any more.
    Hang };

class FleetStore {
public:
    FleetStore();

    std::string address() const { return m_server.address(); }
    // A second address of the same store with a separate fault, to fail the store for some instances only.
    std::string secondAddress() const { return m_secondServer.address(); }

    // Writes an item and returns its revision.
    std::int64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::optional<std::string> find(const std::string& key);
    // Returns to the copy that was taken at this revision: later changes are lost, their revisions are given out again, and watches
    // from later revisions get 410. Each return begins an era, which all responses name.
    void restore(std::int64_t revision, WatchEnd = WatchEnd::Cut);
    // Replaces the header line that names the era in all responses, until it is set to nullopt.
    void setEraText(std::optional<std::string> line);
    // Compacts the history: watches from an earlier revision, including pending ones, get 410.
    void compactHistory();
    // Closes the connections of pending watches.
    void cutWatches();
    // Sets the fault of the first address.
    void setFault(StoreFault);
    // Sets the fault of the second address.
    void setSecondFault(StoreFault);
    // Sets the maximum number of items in a range read response.
    void setPageSize(std::size_t items) { m_pageSize = items; }
    // Number of calls received at both addresses.
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
    // The header line of responses that names the era.
    std::string eraLine();
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
    std::atomic<std::int64_t> m_era = 0;
    std::int64_t m_leases = 0;
    std::atomic<std::int64_t> m_calls = 0;
    std::atomic<std::int64_t> m_reads = 0;
    std::atomic<std::int64_t> m_commits = 0;
    std::optional<std::string> m_eraText;
    // Number of cutWatches calls; a pending watch closes its connection when this changes.
    std::int64_t m_watchCuts = 0;
    // Number of returns at which the pending watches began to hang.
    std::int64_t m_watchHangs = 0;
    std::atomic<std::size_t> m_pageSize = 500;
    std::atomic<StoreFault> m_fault = StoreFault::None;
    std::atomic<StoreFault> m_secondFault = StoreFault::None;
    LoopbackServer m_server;
    LoopbackServer m_secondServer;
};

// An upstream that records its requests and handles them with a replaceable function.
class ScriptedUpstream {
public:
    // Handles one request; returns whether to keep the connection open.
    using Script = std::function<bool(const RawRequest&, RawConnection&)>;

    ScriptedUpstream(std::string id, Script);

    const std::string& id() const { return m_id; }
    int port() const { return m_server.port(); }
    // Returns the value that registers this upstream, to be stored under the key servers/ID.
    std::string registration(const std::string& service, const std::string& state = "ready", const std::string& release = "v1", std::int64_t born = 1) const;
    void setScript(Script);
    std::vector<RawRequest> received();
    // Number of requests received.
    std::size_t count();

private:
    std::string m_id;
    std::mutex m_mutex;
    Script m_script;
    std::vector<RawRequest> m_received;
    LoopbackServer m_server;
};

// Responds to each request with status 200 and the given body.
ScriptedUpstream::Script respondWith(const std::string& body);
struct StreamOptions {
    // Percentage in the X-Confidence header.
    int confidence = 100;
    // Header fields in addition to those of every response.
    HeaderFields fields;
    // If set and false before an event, the connection is reset there.
    std::function<bool()> isRunning;
};
// Sends a stream of events numbered 1 to `events`, with a pause after each; a request with a Last-Event-Id gets only the
// events after that one.
ScriptedUpstream::Script streamEvents(int events, std::chrono::milliseconds pause, StreamOptions options = {});

// An engine whose process crashes when it begins to respond to a prompt with a given part: the connections of all its requests
// are reset. A later start is another process: the engine registers with a later start time. Until then it resets what it gets.
class CrashingEngine {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Registers the engine for a service. A response begins this long after its request.
    CrashingEngine(FleetStore&, std::string id, std::string service, std::string fatalPart, std::chrono::milliseconds timeToFirstEvent = std::chrono::milliseconds(40));

    // Keeps new requests away, while those that it has go on.
    void drain();
    // Starts the process again if it crashed at least this long ago.
    void restartAfter(std::chrono::milliseconds);
    // When requests with the part reached the running process.
    std::vector<TimePoint> fatalRequests();
    std::vector<TimePoint> crashes();

private:
    bool serve(const RawRequest&, RawConnection&);
    void registerProcess(const std::string& state = "ready");

    FleetStore& m_store;
    std::string m_service;
    std::string m_fatalPart;
    std::chrono::milliseconds m_timeToFirstEvent;
    std::mutex m_mutex;
    std::int64_t m_born = 1;
    bool m_isRunning = true;
    std::vector<TimePoint> m_fatalRequests;
    std::vector<TimePoint> m_crashes;
    ScriptedUpstream m_upstream;
};

// Limits of a configuration on the times that callers may take.
struct CallerTimes {
    std::chrono::milliseconds header { 500 };
    std::chrono::milliseconds idle { 15000 };
};

// Returns a configuration in the platform's format with one route of each kind on host a.example and one team with
// the given API key.
std::string sampleConfiguration(std::int64_t version, const std::string& key = "key-1", const CallerTimes& times = {});

}
