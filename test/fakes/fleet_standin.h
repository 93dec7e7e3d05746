#pragma once

// Stand-ins for a platform that declares routes: its store, by the published calls, and upstreams that follow a script.

#include "fakes/loopback_server.h"

#include <condition_variable>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace skylarkhitch::standin {

// What the store does with calls. Faults hold until they are changed.
enum class StoreFault { None,
    // Answers 503.
    Busy,
    // Answers nothing.
    Silent,
    // Carries calls out and closes without an answer.
    LosesAnswers,
    // Takes slowReadTime for each read of a range; other calls are answered at once.
    SlowReads,
    // Answers 429 to every second read of a range.
    BusyReads,
    // Answers 412 to the first transaction and to every second one after it, as if others had been quicker.
    Conflicts };

constexpr std::chrono::milliseconds slowReadTime { 200 };

class FleetStore {
public:
    FleetStore();

    std::string address() const { return m_server.address(); }
    // A second address of the same store; its faults are its own, as for an instance that alone is turned away.
    std::string otherAddress() const { return m_otherServer.address(); }

    std::int64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::optional<std::string> find(const std::string& key);
    // Watches from before now answer 410.
    void forgetHistory();
    // Closes the connections of watches that wait.
    void cutWatches();
    void setFault(StoreFault);
    void setOtherFault(StoreFault);
    // Items in one answer to a read of a range.
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
    std::string answer(const RawRequest&);
    std::string range(const std::string& prefix, const std::string& after);
    std::string watch(const RawRequest&);
    std::string commit(const nlohmann::json&);
    std::int64_t write(const std::string& key, std::optional<std::string> value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_history;
    std::int64_t m_revision = 10;
    std::int64_t m_forgotten = 0;
    std::int64_t m_leases = 0;
    std::atomic<std::int64_t> m_calls = 0;
    std::atomic<std::int64_t> m_reads = 0;
    std::atomic<std::int64_t> m_commits = 0;
    // Counts the cuts of watches.
    std::int64_t m_cuts = 0;
    std::atomic<std::size_t> m_pageSize = 500;
    std::atomic<StoreFault> m_fault = StoreFault::None;
    std::atomic<StoreFault> m_otherFault = StoreFault::None;
    LoopbackServer m_server;
    LoopbackServer m_otherServer;
};

// An upstream that remembers what it got and answers by a script.
class ScriptedUpstream {
public:
    using Script = std::function<bool(const RawRequest&, RawConnection&)>;

    ScriptedUpstream(std::string id, Script);

    const std::string& id() const { return m_id; }
    int port() const { return m_server.port(); }
    std::string entry(const std::string& service, const std::string& state = "ready", const std::string& release = "v1") const;
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

// Scripts.
ScriptedUpstream::Script answering(const std::string& body);
// A stream of so many events, and so long between them.
ScriptedUpstream::Script streaming(int events, std::chrono::milliseconds pause, int confidence = 100);

// A configuration with a route of each kind on host a.example and one team, in the platform's form.
std::string sampleConfiguration(std::int64_t version, const std::string& key = "key-1");

}
