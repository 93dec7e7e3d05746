#pragma once

// The traffic thread's state: what requests share. Everything here is touched by that thread only.

#include "core/limits/crash_guard.h"
#include "core/rollout/broken_answers.h"
#include "core/rollout/session_releases.h"
#include "core/routing/upstream_board.h"
#include "edge/connection_pool.h"
#include "edge/edge_metrics.h"
#include "edge/fleet_view.h"

#include <list>

namespace skylarkhitch {

// Where a request may run.
struct Placement {
    const RoutedService* service = nullptr;
    std::vector<const UpstreamEntry*> allowed;
};

struct TrafficSettings {
    DomainId domain;
    std::uint64_t seed = 1;
    Milliseconds sessionTime { 5000 };
    RepeatBudgetSettings repeats;
};

class Traffic {
public:
    Traffic(EventLoop&, TrafficSettings, EdgeMetrics&);

    void adopt(FleetViewPtr);
    void learn(PeerNews);
    TrafficReport report();

    const FleetViewPtr& view() const { return m_view; }
    bool isConfigured() const { return m_view && m_view->configuration; }
    // Suspends a request until there is a configuration or the time is over; after the first moments of the process it
    // does not wait any more.
    Awaitable<void> awaitConfiguration(TimePoint until);
    bool isReady() const { return isConfigured() && !m_view->upstreams.empty() && !m_stopping; }
    // No new callers are wanted any more.
    void stop() { m_stopping = true; }
    bool isStopping() const { return m_stopping; }

    // Upstreams that may run a request of a service now, by roster and roll-out.
    Placement place(const ServiceId&, const RoutedRequest&, TimePoint now);
    // Remembers which release a session got.
    void sessionServed(const RoutedRequest&, const std::string& release, TimePoint now);
    EndedLives& endedLives() { return m_endedLives; }

    void requestArrived(const ServiceId&, TimePoint now);
    // Whether the request may be sent once more, out of a part of the budget.
    bool takeRepeat(const ServiceId&, TimePoint now, double part = 1);
    void count(const ReleaseRoute&, bool isGood, Milliseconds latency);
    // An answer broke off; it counts against the release once the same life of the upstream answers a later request.
    void countBroken(const std::string& life, const ReleaseRoute&, TimePoint now);
    void countWorked(const std::string& life, TimePoint sentAt);

    EventLoop& loop() { return m_loop; }
    UpstreamBoard& board() { return m_board; }
    ConnectionPool& connections() { return m_connections; }
    CrashGuard& crashes() { return m_crashes; }
    EdgeMetrics& metrics() { return m_metrics; }
    const TrafficSettings& settings() const { return m_settings; }

private:
    bool runsOn(const RolloutInForce&, const std::string& release, const RoutedRequest&, TimePoint now) const;
    RepeatBudget& budgetOf(const ServiceId&);

    EventLoop& m_loop;
    TrafficSettings m_settings;
    EdgeMetrics& m_metrics;
    FleetViewPtr m_view;
    UpstreamBoard m_board;
    ConnectionPool m_connections;
    CrashGuard m_crashes;
    SessionReleases m_sessions;
    std::map<ServiceId, RepeatBudget> m_budgets;
    ReleaseEvidence m_evidence;
    BrokenAnswers m_brokenAnswers;
    EndedLives m_endedLives;
    bool m_stopping = false;
    TimePoint m_startedAt;
    // Timers of requests that wait for the first configuration, each until its own time; it cancels them.
    std::list<asio::steady_timer*> m_waiting;
};

}
