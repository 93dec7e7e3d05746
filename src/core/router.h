#pragma once

// The core: an event-driven state machine used by a single thread. Handles timestamped events and appends the resulting
// actions. It reads no clock, opens no sockets and starts no threads, so that tests can run it in virtual time.

#include "core/requests/chat_flow.h"
#include "core/requests/explain.h"
#include "core/requests/service_flow.h"
#include "core/routing/entry_choice.h"

namespace skylarkhitch {

struct RouterSettings {
    Incarnation self;
    DomainId domain;
    std::string entryAddress;
    std::uint64_t seed = 1;
    MembershipSettings membership;
    LedgerSettings ledger;
    ConfigManagerSettings configManager;
    UpstreamSettings upstreams;
    EvidenceSettings evidence;
    AdmissionPolicy admission = AdmissionPolicy::RankAndTeam;
    CascadePolicy cascade = CascadePolicy::LeastExpectedCost;
    // An instance that can reach neither the store nor at least half of its peers for this long rejects new requests,
    // because it would not learn that a version has been withdrawn.
    Milliseconds cutOffAfter { 10000 };
    // A draining instance still accepts requests for this long, for callers that have cached its address.
    Milliseconds drainGrace { 5000 };
    Mutations mutations;
};

class Router {
public:
    Router(RouterSettings, ConfigurationReader, MetricsSink&);

    void handle(Event, TimePoint, Outbox&);
    // When the next TimerFired event is due.
    TimePoint nextWake(TimePoint) const;

    // Chooses the instance that a caller should use.
    EntryResponse chooseEntry(const EntryQuery&) const;
    std::vector<std::string> explain(const ExplainQuery& question, TimePoint now) const { return explainRequest(m_core, question, now); }
    // Returns the team that owns the bearer key with this digest, or null.
    const Team* teamByKey(const std::string& digest) const;

    // Whether a configuration is known and no drain was requested.
    bool ready() const { return m_configManager.current() != nullptr && !m_draining; }
    bool draining() const { return m_draining; }
    // Whether the process may exit: a drain was requested, its grace period is over, all requests are finished and all
    // ledger records are stored.
    bool drained(TimePoint) const;
    // Ends the requests at work as if their deadlines had passed, since the process exits: each gets its response or an error. One
    // that waits for a record of its response is ended by a second call.
    void endRequests(TimePoint, Outbox&);
    // Whether this instance rejects new requests because of RouterSettings::cutOffAfter.
    bool cutOff() const { return m_cutOff; }

    const Membership& membership() const { return m_membership; }
    const ConfigManager& configManager() const { return m_configManager; }
    const Ledger& ledger() const { return m_ledger; }
    const UpstreamTable& upstreams() const { return m_upstreams; }
    const VersionEvidence& evidence() const { return m_evidence; }
    const StoreCalls& store() const { return m_store; }
    // Number of unfinished requests, including those waiting for a slot.
    std::size_t requestsInFlight() const { return m_requests.size(); }
    // Number of requests waiting for a slot.
    std::size_t requestsWaiting() const { return m_admission.size(); }

private:
    struct EventVisitor;

    void on(RequestReceived, TimePoint, Outbox&);
    void on(const CallerDisconnected&, TimePoint, Outbox&);
    void on(AttemptChunk, TimePoint, Outbox&);
    void on(AttemptFinished, TimePoint, Outbox&);
    void on(const RatingReceived&, TimePoint, Outbox&);
    void on(const StoreReply&, TimePoint, Outbox&);
    void on(const LoadReported&, TimePoint, Outbox&);
    void on(const InstancesListed&, TimePoint, Outbox&);
    void on(const PeerMessageReceived&, TimePoint, Outbox&);
    void on(EditRequested, TimePoint, Outbox&);
    void on(const TimerFired&, TimePoint, Outbox&);
    void on(const DrainRequested&, TimePoint, Outbox&);
    void heartbeatReceived(const Incarnation&, const Heartbeat&, TimePoint, Outbox&);

    bool passesCommonChecks(RequestState&, TimePoint, Outbox&);
    bool findTeam(RequestState&, TimePoint, Outbox&);
    bool findRank(RequestState&, TimePoint, Outbox&);
    void configurationChanged();
    void sendHeartbeats(TimePoint, Outbox&);
    void expireRequests(TimePoint, Outbox&);
    void checkCutOff(TimePoint, Outbox&);
    void deliverLedgerResults(TimePoint, Outbox&);

    RouterSettings m_settings;
    MetricsSink& m_metrics;
    StoreCalls m_store;
    Membership m_membership;
    ConfigManager m_configManager;
    Ledger m_ledger;
    RequestTable m_requests;
    Admission m_admission;
    UpstreamTable m_upstreams;
    VersionEvidence m_evidence;
    PassEstimates m_passEstimates;
    CrashGuard m_crashGuard;
    RetryBudget m_retryBudget;
    CoreComponents m_core;
    Dispatcher m_dispatcher;
    ChatFlow m_chat;
    ServiceFlow m_service;
    ConfigurationPtr m_appliedConfiguration;
    absl::flat_hash_map<std::string, TeamId> m_teamsByKey;
    std::uint64_t m_sequence = 0;
    TimePoint m_lastHeartbeat {};
    TimePoint m_nextHeartbeat {};
    TimePoint m_nextDeadlineCheck {};
    std::optional<TimePoint> m_isolatedSince;
    std::optional<TimePoint> m_drainingSince;
    bool m_draining = false;
    bool m_cutOff = false;
};

}
