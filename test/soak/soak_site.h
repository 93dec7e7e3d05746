#pragma once

// The system under test in a soak run: entry instances as processes, fakes of the platform's store and the upstreams, and
// callers that send requests continuously. A FaultProxy stands in front of each upstream, and one between each instance and
// the store.

#include "fakes/fault_proxy.h"
#include "fakes/fleet_standin.h"
#include "processes/edge_instance.h"
#include "soak/soak_records.h"

#include <random>

namespace skylarkhitch::soak {

// How a request is sent: its body, if there is one, after bodyDelay. If `work` is not 0, the upstream works that long and may be
// silent meanwhile, and the caller waits longer.
struct Sending {
    std::chrono::microseconds bodyDelay {};
    std::chrono::milliseconds work {};
};

class SoakSite {
public:
    SoakSite(std::uint64_t seed, std::size_t instanceCount);
    ~SoakSite();

    // The idle time that the configuration allows to callers, and the additional time after which an instance closes an idle
    // connection.
    static constexpr std::chrono::milliseconds idleTimeout { 600 };
    static constexpr std::chrono::milliseconds idleMargin { 2000 };

    struct Upstream {
        std::string service;
        std::string domain;
        std::unique_ptr<standin::ScriptedUpstream> server;
        std::unique_ptr<standin::FaultProxy> proxy;
        // Incremented when the upstream counts as restarted; this breaks off the long requests of the process before.
        std::shared_ptr<std::atomic<std::int64_t>> incarnation;
    };

    // Registers an upstream in the store with its incarnation as `born`.
    void registerUpstream(Upstream&, const std::string& state = "ready");
    // Writes or removes an entry as another writer would that knows nothing of its meaning: `kind` selects the key and the content from
    // a table of oddEntryKinds() rows. It describes no upstream or instance that could be used.
    void putOddEntry(std::size_t kind);
    // Orders that nothing be sent to the upstreams of the smaller failure domain, and withdraws the order.
    void evacuateDomain();
    void takeDomainBack();
    void removeOddEntry(std::size_t kind);
    static std::size_t oddEntryKinds();
    // Stores a new version of the configuration that accepts only this API key, with which later requests are sent.
    void putConfiguration(const std::string& key);
    void startCallers();
    void stopCallers();
    // Sends one request, checks the response and records the outcome. Connects to the instance if there is no connection, and
    // drops the connection if it cannot be reused.
    Outcome sendRequest(RequestType, std::unique_ptr<standin::RawConnection>&, std::size_t instance, std::mt19937_64&, Sending = {});
    // Opens a connection to the instance and sends a long request on it after `rest`, without waiting for the response.
    void sendLongRequest(RequestType, EdgeInstance&, std::chrono::milliseconds rest, std::chrono::milliseconds work);
    // Kills the process of an instance; restart() also starts it again. start() does so after the process has ended.
    void kill(EdgeInstance&);
    void restart(EdgeInstance&);
    void start(EdgeInstance&);
    // Sends SIGTERM to an instance. Its grace period begins with the first one, or when the process runs again if it is paused.
    void stop(EdgeInstance&);
    void pause(EdgeInstance&);
    void resume(EdgeInstance&);
    // Clears all faults, registers every upstream as a new incarnation, and resumes paused instances.
    void clearFaults();

    SoakRecords records;
    standin::FleetStore store;
    std::vector<std::unique_ptr<standin::FaultProxy>> storeProxies;
    std::vector<Upstream> upstreams;
    std::vector<std::unique_ptr<EdgeInstance>> instances;

private:
    void addUpstream(const std::string& id, const std::string& service, const std::string& domain);
    // What an upstream does with one request: `draw`, from 0 to 1, selects its fault; `work` is the time until the response is complete
    // and `silence` a part of it without any byte. isRunning is false once the process has ended.
    struct Run {
        double draw = 0;
        std::chrono::milliseconds work {}, silence {};
        std::function<bool()> isRunning;
    };
    standin::ScriptedUpstream::Script makeScript(const std::string& id, bool isEngine, std::shared_ptr<std::atomic<std::int64_t>> incarnation);
    bool sendPlainResponse(const standin::RawRequest&, standin::RawConnection&, const Run&);
    bool sendStreamResponse(const standin::RawRequest&, standin::RawConnection&, const Run&);
    // Waits for a part of the work; returns false after it broke the response off, because the process has ended.
    bool work(const standin::RawRequest&, standin::RawConnection&, const Run&, std::chrono::milliseconds);
    // Sends a part of the head, of a length that the draw selects, and closes the connection.
    bool sendBrokenHead(const standin::RawRequest&, standin::RawConnection&, const std::string& bytes, const Run&);
    bool abort(const standin::RawRequest&, standin::RawConnection&);
    // How a caller uses its connection. Roaming: sends without a rest and changes its connection and instance at random.
    // Staying: rests for a random part of the time that the configuration allows, and always uses one instance, also while it
    // stops. Late: the same, but rests about until the instance closes the connection,
    // and sends some bodies about when the instance ceases to wait for them. Long: stays with one instance, does not rest, and sends
    // streams and calls that last for a large part of its grace period.
    enum class CallerKind { Roaming,
        Staying,
        Late,
        Long };
    void runCaller(CallerKind, std::size_t instance, std::size_t number);
    // Returns for how long a caller rests on its connection after a response.
    static std::chrono::microseconds restTime(CallerKind, std::mt19937_64&);

    // Returns a random time that is a large part of the instance's grace period.
    static std::chrono::milliseconds longWork(const EdgeInstance&, std::mt19937_64&);

    std::uint64_t m_seed;
    std::atomic<std::uint64_t> m_lastId = 0;
    std::atomic<std::int64_t> m_version = 1;
    std::string m_key;
    std::mutex m_keyMutex;
    std::mutex m_randomMutex;
    std::mt19937_64 m_random;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_callers;
    // Value of EdgeInstance::starts() of the last process of each instance that was sent SIGTERM.
    std::map<const EdgeInstance*, std::int64_t> m_stopped;
    std::set<const EdgeInstance*> m_paused;
    // Instances whose first SIGTERM came in a pause.
    std::set<const EdgeInstance*> m_stoppedInPause;
};

}
