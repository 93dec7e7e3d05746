#pragma once

// A simulated deployment on virtual time for tests of the core: Routers, a store, upstreams, a rating service and the links
// between them, with fault injection for each. Checks use only what callers, upstreams and the store observed, never a
// Router's own counters.

#include "config/parse_configuration.h"
#include "core/router.h"

#include <functional>
#include <queue>
#include <set>

namespace skylarkhitch {

// Points in the processing of the watched request at which a fault can be injected.
enum class Step {
    // The entry received the request.
    Accepted,
    // The entry sent the request's claim to the store.
    ClaimSent,
    // The store committed the claim.
    ClaimCommitted,
    // The entry sent the request to an upstream.
    AttemptSent,
    // The first token was generated; in a stream, also each later token except the fourth.
    FirstByte,
    // The fourth token of a stream, or the fifth of a response that is not streamed, was generated.
    MidStream,
    // The attempt ended, successfully or not.
    LastByte,
    // The entry sent the request's bill or outcome to the store.
    BillSent,
    // The store committed the bill or outcome.
    BillCommitted,
    // The entry sent the caller the response or the end of its stream.
    AnswerReleased
};

const char* nameOf(Step);

// Points in the processing of a configuration edit at which a fault can be injected.
enum class ConfigurationStep {
    // An entry sent a read of the current configuration to the store.
    Read,
    // The store committed an entry's compare-and-swap of the configuration.
    Swapped,
    // The operator received the result of the edit.
    Answered,
    // Two entries are at revision 2 or later.
    AppliedBySecondEntry,
    // All entries are at revision 2 or later.
    AppliedEverywhere
};

const char* nameOf(ConfigurationStep);

// A request as its caller observed it.
struct ObservedRequest {
    std::size_t entry = 0;
    CallerRequest request;
    TimePoint sentAt;
    std::optional<TimePoint> endedAt;
    CallerResponseHead head;
    std::string body;
    // The payloads of a stream's events, including the last one.
    std::vector<std::string> chunks;
    bool streamEnded = false;
    // Whether the connection ended before the response did, closed by the caller or lost with the entry.
    bool connectionLost = false;

    // Returns whether the caller received a complete response that is not an error.
    bool succeeded() const;
    // The kind of the error that the caller received instead, or an empty string.
    std::string errorKind() const;
    // The error's `ran` value, which states whether an upstream executed the request, or an empty string.
    std::string errorExecuted() const;
};

// One execution of a request that an upstream started.
struct UpstreamRun {
    UpstreamId upstream;
    VersionId version;
    RequestId request;
    std::string body;
    // Whether it was a call to a service, not a chat.
    bool isCall = false;
    TimePoint at;
};

struct SimulatedUpstream {
    // Accepts no connections.
    bool down = false;
    // Starts requests but never responds; also stops chats in progress if `slots` is unlimited.
    bool stalled = false;
    // Refuses requests as not run.
    bool draining = false;
    // Number of responses to cut off: of a chat after three tokens, of a service call after its execution.
    int responsesToCut = 0;
    // Number of requests to respond to with 500.
    int errorsToReturn = 0;
    Milliseconds extraDelay { 0 };
    // Maximum number of concurrent chats; 0 means unlimited. Queued chats start in order of priority.
    std::size_t slots = 0;
    // Time per token if `slots` is limited.
    Milliseconds perToken { 10 };
    // When `draining` was set; for the checks.
    TimePoint drainingSince {};
    // Not used: ratings come from SimulatedSite::rating or versionQuality.
    double quality = 0.8;
    // Crashes on a request with this body digest; empty for none.
    std::string crashOn;
};

struct SimulatedStore {
    std::map<std::string, StoreItem> items;
    std::uint64_t revision = 0;
    bool down = false;
    // Time from a call to its reply; a reply that is later than the call's timeout is reported as unavailable.
    Milliseconds latency { 3 };
    // Number of compare-and-swaps to commit without delivering their replies.
    int repliesToLose = 0;
    // Number of compare-and-swaps to report as unavailable and commit 700 ms after their timeout.
    int swapsToDelay = 0;
    std::uint64_t calls = 0;
    // Number of committed compare-and-swaps.
    std::uint64_t swaps = 0;
};

class SimulatedSite final : public MetricsSink {
public:
    struct Options {
        std::size_t entries = 3;
        std::uint64_t seed = 1;
        Mutations mutations;
        // If empty, sampleConfiguration() is used.
        std::string configuration;
        AdmissionPolicy admission = AdmissionPolicy::RankAndTeam;
        CascadePolicy cascade = CascadePolicy::LeastExpectedCost;
        ChoicePolicy choice = ChoicePolicy::RoundRobin;
        // Age of the load reports.
        Milliseconds loadLag { 0 };
    };
    explicit SimulatedSite(Options);
    ~SimulatedSite() override;

    // Advances virtual time and runs what is due.
    void run(Milliseconds);
    // Schedules a function at a virtual time after now.
    void after(Milliseconds, std::function<void()>);
    TimePoint now() const { return m_now; }

    // Sends a request to an entry and returns its index in `callers`.
    std::size_t send(std::size_t entry, CallerRequest);
    // Makes the next sent request the watched one.
    void watchNextRequest() { watchedRequest = { "r" + std::to_string(m_lastRequest + 1) }; }
    void disconnectCaller(std::size_t caller);
    // Writes the first configuration document back, as a store restored from a backup would.
    void restoreFirstConfiguration();
    // Sends a configuration edit to an entry and returns its ticket, which EditCompleted repeats.
    std::size_t edit(std::size_t entry, const std::string& text, Revision base);

    // Ends an entry at once; callers with requests in progress lose their connections.
    void kill(std::size_t entry);
    // Starts an entry as a new incarnation if it is not running.
    void restart(std::size_t entry);
    // Queues the events of an entry until resume().
    void suspend(std::size_t entry);
    void resume(std::size_t entry);
    // Starts the planned stop of an entry.
    void drain(std::size_t entry);
    // Cuts or restores the link between two entries.
    void cutPeers(std::size_t a, std::size_t b, bool cut);
    // Cuts or restores the link between an entry and the store.
    void cutStore(std::size_t entry, bool cut);
    // Takes an upstream down and cuts off its responses in progress.
    void crash(const UpstreamId&);
    bool alive(std::size_t entry) const { return m_entries[entry].router != nullptr; }
    Router& router(std::size_t entry) { return *m_entries[entry].router; }

    // Called at each step of the watched request.
    std::function<void(Step)> onStep;
    RequestId watchedRequest;
    // Called at each step of configuration edits.
    std::function<void(ConfigurationStep)> onConfigurationStep;

    SimulatedStore store;
    std::map<UpstreamId, SimulatedUpstream> upstreams;
    std::map<VersionId, double> versionQuality;
    // Returns the rating of a response; if unset, versionQuality is used.
    std::function<double(const RequestId&, const VersionId&)> rating;
    // Probability that a message between entries is lost.
    double peerLoss = 0;
    std::vector<ObservedRequest> callers;
    std::vector<UpstreamRun> runs;
    std::vector<EditCompleted> edits;
    // The configuration revisions that each entry applied, in order.
    struct AppliedRevision {
        std::size_t entry;
        Revision revision;
        TimePoint at;
    };
    std::vector<AppliedRevision> appliedRevisions;
    // The state changes that the Routers reported.
    std::vector<StateChanged> changes;
    // If tracing is set, `trace` gets a line for each request and response at callers and upstreams, store call, peer message
    // other than a heartbeat, rating, edit, state change and planned stop.
    bool tracing = false;
    std::vector<std::string> trace;
    std::uint64_t peerMessages = 0;
    std::uint64_t peerBytes = 0;

    // All ledger records in the store, without the totals.
    std::vector<LedgerRecord> records() const;

    void requestEnded(const RequestSummary&) override { }
    void tokenGap(const TeamId&, const RankId&, Microseconds) override { }
    void attemptEnded(const UpstreamId&, const VersionId&, AttemptEnd) override { }
    void strayResponse() override { ++strayResponses; }
    void retried() override { ++retries; }
    // Requests that were still in progress when their entry completed a planned stop.
    std::vector<RequestId> interruptedByStop;
    // The configuration document that was committed last; restoreFirstConfiguration does not change it.
    ConfigurationDocument newestDocument;
    // Counts that the Routers report as metrics: for measurements, not for checks.
    int strayResponses = 0;
    int retries = 0;

private:
    struct Entry {
        std::unique_ptr<Router> router;
        std::uint64_t incarnation = 0;
        bool frozen = false;
        bool storeCut = false;
        std::vector<Event> pendingEvents;
        std::optional<TimePoint> wakeAt;
        Revision revision = 0;
    };
    struct ScheduledFunction {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> function;
        bool operator>(const ScheduledFunction& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
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
    void reportStep(Step, const RequestId&);
    void reportStep(ConfigurationStep);
    void recordRevision(std::size_t entry);
    void addTrace(std::size_t entry, const std::string& line);

    void execute(std::size_t entry, Action);
    void handle(std::size_t, const SendAttempt&);
    void handle(std::size_t, const CancelAttempt&);
    void handle(std::size_t, const CallerResponse&);
    void handle(std::size_t, const CallerStreamStart&);
    void handle(std::size_t, const CallerStreamData&);
    void handle(std::size_t, const CallerStreamEnd&);
    void handle(std::size_t, const StoreCall&);
    void handle(std::size_t, const SendPeerMessage&);
    void handle(std::size_t, const RateResponse&);
    void handle(std::size_t, const EditCompleted&);
    void handle(std::size_t, const StateChanged&);

    void reportLedgerSteps(const StoreCall&, bool committed);
    StoreReply applyStore(const StoreCall&);
    void notifyWatches(const std::string& key);
    void beginAttempt(const std::shared_ptr<Attempt>&);
    void generateResponse(const std::shared_ptr<Attempt>&);
    void acquireSlot(const std::shared_ptr<Attempt>&);
    void releaseSlot(const std::shared_ptr<Attempt>&);
    void nextToken(const std::shared_ptr<Attempt>&);
    void finishAttempt(const std::shared_ptr<Attempt>&, AttemptFinished);
    void reportLoads();
    ObservedRequest* openRequest(std::size_t entry, const RequestId&);

    Options m_options;
    TimePoint m_now { Seconds(1000000) };
    std::uint64_t m_lastOrder = 0;
    std::mt19937_64 m_random;
    std::priority_queue<ScheduledFunction, std::vector<ScheduledFunction>, std::greater<>> m_scheduled;
    std::vector<Entry> m_entries;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    std::map<RequestId, std::size_t> m_callerIndex;
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

// The configuration of the fault matrix and the golden sessions.
std::string sampleConfiguration();

CallerRequest chatRequest(const std::string& model, bool streamed, const std::string& session = {});
CallerRequest bookingRequest(const std::string& key, const std::string& body);

}
