#pragma once

// A site on virtual time for tests of the core: some Routers, a store, upstreams, a rating service and the links between
// them, each with faults. Checks read only what callers, upstreams and the store saw, never a Router's own counters.

#include "config/parse_configuration.h"
#include "core/router.h"

#include <functional>
#include <queue>
#include <set>

namespace skylarkhitch {

// Points on the way of the watched request at which a fault can strike.
enum class Step { Accepted,
    ClaimSent,
    ClaimCommitted,
    AttemptSent,
    FirstByte,
    MidStream,
    LastByte,
    BillSent,
    BillCommitted,
    AnswerReleased };

const char* nameOf(Step);

// Points on the way of an edit of the configuration.
enum class ConfigurationStep { Read,
    Swapped,
    Answered,
    Spread,
    InForceEverywhere };

const char* nameOf(ConfigurationStep);

// What a caller sent and saw of one request.
struct CallerView {
    std::size_t entry = 0;
    CallerRequest request;
    TimePoint sentAt;
    std::optional<TimePoint> endedAt;
    CallerResponseHead head;
    std::string body;
    std::vector<std::string> pieces;
    bool streamEnded = false;
    bool connectionLost = false;

    // A whole answer of an upstream came.
    bool succeeded() const;
    // The kind of the error that came instead, or empty.
    std::string errorKind() const;
    std::string errorRan() const;
};

// One request that an upstream began to run.
struct UpstreamRun {
    UpstreamId upstream;
    VersionId version;
    RequestId request;
    std::string body;
    bool isCall = false;
    TimePoint at;
};

struct SimulatedUpstream {
    bool down = false;
    bool stalled = false;
    bool draining = false;
    int cutNext = 0;
    int errorsNext = 0;
    Milliseconds extraDelay { 0 };
    // Requests that run at the same time; 0 means any number. What waits is started by priority.
    std::size_t slots = 0;
    Milliseconds perToken { 10 };
    TimePoint drainingSince {};
    double quality = 0.8;
    std::string crashOn;
};

struct SimulatedStore {
    std::map<std::string, StoreItem> items;
    std::uint64_t revision = 0;
    bool down = false;
    Milliseconds latency { 3 };
    // The next swaps take effect and their replies are lost.
    int repliesLost = 0;
    // The next swaps are reported as unavailable and take effect much later.
    int swapsLate = 0;
    std::uint64_t calls = 0;
    std::uint64_t swaps = 0;
};

class SimulatedSite final : public MetricsSink {
public:
    struct Options {
        std::size_t entries = 3;
        std::uint64_t seed = 1;
        Mutations mutations;
        std::string configuration;
        AdmissionPolicy admission = AdmissionPolicy::RankAndTeam;
        CascadePolicy cascade = CascadePolicy::LeastExpectedCost;
        ChoicePolicy choice = ChoicePolicy::RoundRobin;
        // Age of the load reports.
        Milliseconds loadLag { 0 };
    };
    explicit SimulatedSite(Options);
    ~SimulatedSite() override;

    // Lets virtual time pass.
    void run(Milliseconds);
    void after(Milliseconds, std::function<void()>);
    TimePoint now() const { return m_now; }

    // Sends a request to an entry and returns its number among callers.
    std::size_t send(std::size_t entry, CallerRequest);
    // Watches the request that is sent next.
    void watchNext() { watched = { "r" + std::to_string(m_lastRequest + 1) }; }
    void leave(std::size_t caller);
    // Puts an earlier value of the configuration back, as a store restored from a copy would.
    void revertStore();
    std::size_t edit(std::size_t entry, const std::string& text, Revision base);

    void kill(std::size_t entry);
    void restart(std::size_t entry);
    void freeze(std::size_t entry);
    void thaw(std::size_t entry);
    void drain(std::size_t entry);
    void cutPeers(std::size_t a, std::size_t b, bool cut);
    void cutStore(std::size_t entry, bool cut);
    void crash(const UpstreamId&);
    bool alive(std::size_t entry) const { return m_entries[entry].router != nullptr; }
    // The entry whose shard of the ledger would write this key's record.
    Router& router(std::size_t entry) { return *m_entries[entry].router; }

    // Calls back at each step of the watched request.
    std::function<void(Step)> onStep;
    RequestId watched;
    // Calls back at each step of the first edit.
    std::function<void(ConfigurationStep)> onConfigurationStep;

    SimulatedStore store;
    std::map<UpstreamId, SimulatedUpstream> upstreams;
    std::map<VersionId, double> versionQuality;
    // The rating of one answer; by default its version's quality.
    std::function<double(const RequestId&, const VersionId&)> rating;
    double peerLoss = 0;
    std::vector<CallerView> callers;
    std::vector<UpstreamRun> runs;
    std::vector<EditCompleted> edits;
    // Every revision that came into force at each entry, in order, with its time.
    struct InForce {
        std::size_t entry;
        Revision revision;
        TimePoint at;
    };
    std::vector<InForce> inForce;
    std::vector<StateChanged> changes;
    // Readable lines of everything that crossed a port, if wanted.
    bool tracing = false;
    std::vector<std::string> trace;
    std::uint64_t peerMessages = 0;
    std::uint64_t peerBytes = 0;

    // All ledger records in the store.
    std::vector<LedgerRecord> records() const;

    void requestEnded(const RequestSummary&) override { }
    void tokenGap(const TeamId&, const RankId&, Microseconds) override { }
    void attemptEnded(const UpstreamId&, const VersionId&, AttemptEnd) override { }
    void strayResponse() override { ++strays; }
    void retried() override { ++retries; }
    // Callers whose requests were cut by a planned stop.
    std::vector<RequestId> cutByStop;
    // The document of the highest revision that the store ever took.
    ConfigurationDocument newestDocument;
    int strays = 0;
    int retries = 0;

private:
    struct Entry {
        std::unique_ptr<Router> router;
        std::uint64_t incarnation = 0;
        bool frozen = false;
        bool storeCut = false;
        std::vector<Event> held;
        std::optional<TimePoint> wakeAt;
        Revision revision = 0;
    };
    struct Due {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> function;
        bool operator>(const Due& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };
    struct Attempt {
        std::size_t entry;
        std::uint64_t incarnation;
        SendAttempt send;
        bool ended = false;
        std::int64_t next = 0;
        bool holdsSlot = false;
    };
    struct EngineQueue {
        std::size_t running = 0;
        std::deque<std::shared_ptr<Attempt>> waiting;
    };

    void start(std::size_t entry);
    void deliver(std::size_t entry, std::uint64_t incarnation, Event);
    void deliverAfter(Milliseconds, std::size_t entry, std::uint64_t incarnation, Event);
    void scheduleWake(std::size_t entry);
    void step(Step, const RequestId&);
    void step(ConfigurationStep);
    void noteInForce(std::size_t entry);
    void note(std::size_t entry, const std::string& line);

    void carryOut(std::size_t entry, Action);
    void on(std::size_t, const SendAttempt&);
    void on(std::size_t, const CancelAttempt&);
    void on(std::size_t, const CallerResponse&);
    void on(std::size_t, const CallerStreamStart&);
    void on(std::size_t, const CallerStreamData&);
    void on(std::size_t, const CallerStreamEnd&);
    void on(std::size_t, const StoreCall&);
    void on(std::size_t, const SendPeerMessage&);
    void on(std::size_t, const RateResponse&);
    void on(std::size_t, const EditCompleted&);
    void on(std::size_t, const StateChanged&);

    void stepsOfSwap(const StoreCall&, bool committed);
    StoreReply applyStore(const StoreCall&);
    void wakeWatches(const std::string& key);
    void beginAttempt(const std::shared_ptr<Attempt>&);
    void runWhole(const std::shared_ptr<Attempt>&);
    void takeSlot(const std::shared_ptr<Attempt>&);
    void freeSlot(const std::shared_ptr<Attempt>&);
    void nextToken(const std::shared_ptr<Attempt>&);
    void finishAttempt(const std::shared_ptr<Attempt>&, AttemptFinished);
    void reportLoads();
    CallerView* view(std::size_t entry, const RequestId&);

    Options m_options;
    TimePoint m_now { Seconds(1000000) };
    std::uint64_t m_order = 0;
    std::mt19937_64 m_random;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> m_due;
    std::vector<Entry> m_entries;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::map<RequestId, std::size_t> m_callerOf;
    std::vector<std::shared_ptr<Attempt>> m_attempts;
    std::map<UpstreamId, EngineQueue> m_engines;
    struct Watch {
        std::size_t entry;
        std::uint64_t incarnation;
        StoreCall call;
    };
    std::vector<Watch> m_watches;
    ConfigurationPtr m_configuration;
    std::string m_firstDocument;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastEdit = 0;
};

// The configuration that the matrix and the golden sessions run on.
std::string sampleConfiguration();

CallerRequest chatRequest(const std::string& model, bool streamed, const std::string& session = {});
CallerRequest bookingRequest(const std::string& key, const std::string& body);

}
