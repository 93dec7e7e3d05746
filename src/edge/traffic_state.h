#pragma once

// State that all requests of an instance share. Used on the traffic thread only.

#include "core/limits/crash_guard.h"
#include "core/limits/prompt_part_guard.h"
#include "core/limits/retry_reservation.h"
#include "core/limits/stop_admission.h"
#include "core/limits/upstream_limits.h"
#include "core/limits/upstream_pauses.h"
#include "core/messages.h"
#include "core/rollout/broken_responses.h"
#include "core/rollout/session_releases.h"
#include "core/routing/link_monitor.h"
#include "core/routing/relay_choice.h"
#include "core/routing/upstream_balancer.h"
#include "core/routing/upstream_doubts.h"
#include "core/scheduling/prompt_placement.h"
#include "edge/connection_pool.h"
#include "edge/edge_metrics.h"
#include "edge/fleet_view.h"

#include <absl/container/flat_hash_set.h>
#include <list>

namespace skylarkhitch {

// The service of a request and the upstreams that may run it now.
struct EligibleUpstreams {
    const RoutedService* service = nullptr;
    std::vector<const UpstreamEntry*> allowed;
};

// A request that was sent to an upstream and got no event of a response yet.
struct UnansweredRequest {
    std::vector<std::string> parts;
    // Withdraws the request from its upstream.
    std::function<void()> withdraw;
};
using UnansweredRequests = std::list<UnansweredRequest>;

struct TrafficSettings {
    InstanceId instance;
    DomainId domain;
    // Seed of the random choices between upstreams.
    std::uint64_t seed = 1;
    // A session is active for this long after its last request.
    Milliseconds sessionIdleTimeout { 5000 };
    ServiceRetryBudgetSettings retryBudget;
    // Memory that the process may have; 0 if no limit is known.
    std::int64_t memoryLimitBytes = 0;
    // Whether engines are chosen by what they are expected to have cached.
    bool usesPromptMemory = false;
};

class TrafficState {
public:
    TrafficState(EventLoop&, TrafficSettings, EdgeMetrics&);

    // Replaces the view, and ends the waits for the first configuration if the view has one.
    void setView(FleetViewPtr);
    // Merges the state that peers sent in their heartbeats.
    void learn(PeerUpdate);
    // Merges what a peer told about prompt parts that crash upstreams and about limits of upstreams.
    void learn(const PeerNews&);
    // Called when the control thread must get a report soon, and evaluateCrashes() must be called after that.
    void onUrgentNews(std::function<void()> callback) { m_onUrgentNews = std::move(callback); }
    // Drops expired state and returns the report for the control thread.
    TrafficReport report();

    const FleetViewPtr& view() const { return m_view; }
    // Whether the site is too large for each instance to hear all others.
    bool isInLargeSite() const { return m_view && !m_view->isFullMesh; }
    bool isConfigured() const { return m_view && m_view->configuration; }
    // Waits for the first configuration, at most until the given time. Does not wait once the startup period of the process
    // is over.
    Awaitable<void> awaitConfiguration(TimePoint until);
    // Whether the instance can serve requests: it has a configuration and an upstream, and is not stopping.
    bool isReady() const { return isConfigured() && !m_view->upstreams.empty() && !isStopping(); }
    // Makes the instance report that it is not ready, so that no new callers are sent to it. At `exitAt` the process ends.
    void stop(TimePoint exitAt);
    bool isStopping() const { return m_exitAt.has_value(); }
    // Whether a request that was received then came so late in the stop that it must not be cut where that would be final.
    bool isLateInStop(TimePoint receivedAt) const { return m_stoppedAt && receivedAt > *m_stoppedAt + StopAdmission::earlyTime; }
    // Ends what requests wait for, since the process ends now. Responses that have arrived are still read.
    void endWaits();
    // Whether the process ends so soon that what ends now is taken to end because of that.
    bool isExiting(TimePoint now) const;
    // Whether the request may be sent now, as it is expected to be answered before the process ends; true unless the instance
    // stops.
    bool fitsBeforeExit(const PendingWork& work, TimePoint now) const { return !m_exitAt || m_stopAdmission.fits(work, *m_exitAt, now); }
    StopAdmission& stopAdmission() { return m_stopAdmission; }

    // Finds the upstreams that may run a request of a service now, according to the current view and rollout.
    EligibleUpstreams findEligibleUpstreams(const ServiceId&, const RoutedRequest&, TimePoint now);
    // Records which release served the request's session, for sessions that the canary stage would move.
    void recordSessionRelease(const RoutedRequest&, const std::string& release, TimePoint now);
    // Upstream processes that get no more requests, since they leave or another upstream answered at their address.
    EndedIncarnations& endedIncarnations() { return m_endedIncarnations; }
    // Whether a new request of the rank is refused, since the failure domains that are left while others are evacuated have no room
    // for it. A request that has begun does not yield.
    bool mustYield(const ServiceId&, std::int64_t rank) const;
    // Whether nothing may be sent to the process of the upstream, even if no other upstream is left.
    bool isHeld(const UpstreamEntry&, TimePoint now) const;
    // Removes the upstreams that want nothing for now. Returns the time until the first of them does if none is left.
    std::optional<Milliseconds> removePaused(std::vector<const UpstreamEntry*>&, TimePoint now) const;
    UpstreamPauses& pauses() { return m_pauses; }
    // Upstreams whose address may belong to another one.
    UpstreamDoubts& doubts() { return m_doubts; }

    // Adds a request to the base of the service's retry budget.
    void requestArrived(const ServiceId&, TimePoint now);
    // Takes one retry from the service's budget, of which only the given part may be used, unless one is held. Returns false if the
    // budget is spent.
    bool takeRetry(const ServiceId&, RetryReservation&, TimePoint now, double part = 1);
    // Counts the outcome of a request as evidence on its release.
    void countFailure(const ReleaseRoute& route) { ++m_evidence[route].failed; }
    void countSuccess(const ReleaseRoute&, const std::string& upstreamProcess, Milliseconds latency);
    // Records a response that broke off. It counts against the release once the same process of the upstream, identified by the
    // id and the start time of the upstream, answers a later request.
    void recordBrokenResponse(const std::string& upstreamProcess, const ReleaseRoute&, TimePoint now);
    // Records a request whose caller left before the response, or before the first event of a stream. Its waiting time counts as
    // latency of the release once the same process of the upstream answers a later request.
    void recordAbandoned(const std::string& upstreamProcess, const AbandonedRequest&);
    // Records that a process of an upstream answered a request sent at this time; counts its responses that broke off before
    // then as failures of their release, and the waiting time of requests abandoned before then as latency.
    void recordAnswer(const std::string& upstreamProcess, TimePoint sentAt);

    // Decides whether a request with these prompt parts may be sent. One that may have run must not be a probe.
    PromptPartGuard::Verdict decideOnParts(const std::vector<std::string>& parts, bool mayHaveRun, TimePoint now);
    // Records events of the prompt part guard, see there.
    void recordLostRequest(const LostRequest&, TimePoint now);
    void recordRunning(const std::string& upstreamProcess, TimePoint runningAt);
    void recordServedParts(const std::vector<std::string>& parts, TimePoint now);
    // Withdraws the request if a quarantine refuses it before removeWaiting() is called.
    UnansweredRequests::iterator addWaiting(UnansweredRequest request) { return m_waiting.insert(m_waiting.end(), std::move(request)); }
    void removeWaiting(UnansweredRequests::iterator it) { m_waiting.erase(it); }
    // Evaluates the crashes whose evidence is complete.
    void evaluateCrashes(TimePoint now);
    // Records what a response of the upstream says of its request limit and of the rejections that it bears, and whether it rejected
    // the request.
    void recordLimit(const UpstreamEntry&, const UpstreamResponse&, TimePoint now);
    // Records that the upstream process wants at most so many requests per second, or any number.
    void recordLimit(const std::string& upstreamProcess, std::optional<double> requestsPerSecond, TimePoint now);
    // Removes the upstreams to which the limits that they state allow this instance no request of the rank now.
    void removeLimited(std::vector<const UpstreamEntry*>&, std::int64_t rank, TimePoint now) const;
    // Time until one of these upstreams may get a request again, from this instance or another one.
    Milliseconds timeToUnlimited(const std::vector<const UpstreamEntry*>&, TimePoint now) const;
    UpstreamLimits& limits() { return m_limits; }
    const UpstreamLimits& limits() const { return m_limits; }
    const PromptPartGuard& promptParts() const { return m_promptParts; }

    // Called when upstreams should be checked soon.
    void onSuspectedLinks(std::function<void()> callback) { m_onSuspectedLinks = std::move(callback); }
    // Records that a request's connection to an upstream was established.
    void recordConnected(TimePoint now);
    // Records that one was not established, or that a response is late. Counts against the upstream, and a late response against
    // its release, once another upstream is reached.
    void recordSilence(SilentUpstream);
    // Returns the upstreams to check now; recordLinkCheck() takes the result of each.
    std::vector<UpstreamEntry> beginLinkChecks(TimePoint now);
    void recordLinkCheck(bool isReached);
    // Whether an attempt that was sent then ended because of this instance's own links. Counts as evidence for later ones.
    bool isOwnLoss(const UpstreamId&, AttemptEnd, TimePoint sentAt, TimePoint now);
    // Returns a peer that reaches the upstreams, other than those tried, or nullopt if there is none.
    std::optional<RelayCandidate> chooseRelay(const std::set<InstanceId>& tried);
    LinkMonitor& links() { return m_links; }
    RelayChoice& relays() { return m_relays; }

    EventLoop& loop() { return m_loop; }
    // What the engines of a service are expected to have cached. Null if that is not used, or the memory of its engines is unknown.
    PromptPlacement* prompts(const ServiceId&);
    // Records the first event of a response of the service, for prompts() and the metrics.
    void recordPromptRead(const ServiceId&, const PromptRead&, TimePoint now);

    UpstreamBalancer& balancer() { return m_balancer; }
    ConnectionPool& connections() { return m_connections; }
    // Memory of all that this instance holds for callers and upstreams.
    const std::shared_ptr<InstanceMemory>& memory() const { return m_memory; }
    // Memory of the response bodies and incomplete events that are buffered; a part of the former.
    BodyMemory& bodyMemory() { return m_bodyMemory; }
    CrashGuard& crashes() { return m_crashes; }
    EdgeMetrics& metrics() { return m_metrics; }
    const TrafficSettings& settings() const { return m_settings; }

private:
    // Sessions for the heartbeats.
    std::vector<RecentSession> sessionsForPeers(TimePoint now) const;
    // Whether the instances of a large site may not know yet which releases serve the sessions that a rollout must not move.
    bool awaitsSessions(const RolloutView&, TimePoint now) const;
    bool isReleaseEligible(const RolloutView&, const std::string& release, const RoutedRequest&, TimePoint now) const;
    // Removes the upstreams of returned failure domains that this instance does not send requests to yet, unless there are no others.
    void preferRefilled(std::vector<const UpstreamEntry*>&, TimePoint now) const;
    ServiceRetryBudget& retryBudgetOf(const ServiceId&);
    // The place of this instance among those that reach upstreams in probing a quarantine with these parts; nullopt if it is none.
    std::optional<std::size_t> probeRank(const std::string& parts) const;
    // Withdraws the requests that quarantines refuse now.
    void withdrawRefused();
    // Drops the limits of processes that another process of the same upstream has replaced.
    void forgetReplacedLimits(const std::vector<UpstreamEntry>& listed);
    // Takes the engines of the view into account.
    void updatePrompts(TimePoint now);
    // What the other instances are told of prompts that engines have read.
    std::vector<PromptHolding> promptHoldings(TimePoint now);
    // Limits the requests to the upstreams of the view that are cold.
    void limitCold(TimePoint now);
    // Logs what the prompt part guard decided, withdraws the requests that this concerns, and asks for a report if peers must know of it.
    void announcePromptParts();
    // The same for limits of upstreams.
    void announceLimits();
    // Logs that links were lost or regained, and counts the failures to connect that are the upstreams' own.
    void announceLinks();

    EventLoop& m_loop;
    TrafficSettings m_settings;
    EdgeMetrics& m_metrics;
    FleetViewPtr m_view;
    UpstreamBalancer m_balancer;
    std::map<ServiceId, PromptPlacement> m_prompts;
    LinkMonitor m_links;
    RelayChoice m_relays;
    std::function<void()> m_onSuspectedLinks;
    ConnectionPool m_connections;
    std::shared_ptr<InstanceMemory> m_memory;
    BodyMemory m_bodyMemory;
    CrashGuard m_crashes;
    PromptPartGuard m_promptParts;
    UpstreamLimits m_limits;
    UpstreamPauses m_pauses;
    UpstreamDoubts m_doubts;
    // Processes that crash if they must reject too many requests, see limits/brittle_upstreams.h.
    absl::flat_hash_set<std::string> m_brittle;
    std::function<void()> m_onUrgentNews;
    UnansweredRequests m_waiting;
    SessionReleases m_sessions;
    std::map<ServiceId, ServiceRetryBudget> m_retryBudgets;
    ReleaseEvidence m_evidence;
    BrokenResponses m_brokenResponses;
    EndedIncarnations m_endedIncarnations;
    // When the stop began and when the process ends; set once it stops.
    std::optional<TimePoint> m_stoppedAt, m_exitAt;
    StopAdmission m_stopAdmission;
    TimePoint m_startedAt;
    // Number of reports.
    std::size_t m_reports = 0;
    // Timers of requests that wait for the first configuration. Each expires at its request's limit; the arrival of a
    // configuration cancels them all.
    std::list<asio::steady_timer*> m_configurationTimers;
};

}
