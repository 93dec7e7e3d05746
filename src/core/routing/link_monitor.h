#pragma once

// Tells an instance's own lost links from upstreams that are down. As long as connections are established, its links are
// whole. If one fails, or none was made for a while, a few upstreams of different services and failure domains are checked
// together; if none of them is reached, the links are lost, unless they may just be full of what this instance sends itself. Failures to connect, and responses that are late, count against
// their upstreams only once another one was reached.

#include "core/membership/fleet_heartbeat.h"
#include "core/routing/upstream_registry.h"

#include <random>

namespace skylarkhitch {

struct LinkMonitorSettings {
    // Time without a new connection after which upstreams are checked.
    Milliseconds quietTime { 400 };
    // Time between two rounds of checks. Short enough that a lost link is known within a second.
    Milliseconds checkPeriod { 250 };
    // Upstreams in a round. A packet lost on a link that is whole must not decide.
    std::size_t checksPerRound = 4;
    // Consecutive rounds that reach at least half of their upstreams before lost links count as regained.
    int roundsToRegain = 2;
    // Rounds that began while the link was full of what this instance sends do not decide until this long after the last connection.
    Milliseconds maxFullTime { 1500 };
    // Connections to this many upstreams that end within this time were lost by this instance's own links.
    std::size_t upstreamsLostTogether = 3;
    Milliseconds togetherTime { 100 };
};

// A response that did not arrive in time.
struct LateResponse {
    // Identifies the upstream's process, by the id and the start time of the upstream.
    std::string process;
    ReleaseRoute route;
    TimePoint at;
};

// An upstream that could not be connected to, or did not respond in time.
struct SilentUpstream {
    UpstreamId upstream;
    RequestId request;
    // Not set if no connection was established.
    std::optional<LateResponse> late;
};

// The links were lost or regained.
struct LinkEvent {
    bool isLost = false;
    // Upstreams of the last round, and how many of them were reached.
    std::size_t checked = 0;
    std::size_t reached = 0;
    // Time since a connection was established before they were lost, or for which they were lost.
    Milliseconds duration {};
};

class LinkMonitor {
public:
    explicit LinkMonitor(std::uint64_t seed, LinkMonitorSettings settings = {})
        : m_settings(settings)
        , m_random(seed)
    {
    }

    // A request's connection to an upstream was established.
    void connected(TimePoint now);
    // The link is full of what this instance sends until then, see LinkLoad.
    void setFullUntil(TimePoint time) { m_fullUntil = time; }
    // A request's connection was not established, or its response is late.
    void heardNothing(SilentUpstream);
    // An established connection to an upstream was lost. Returns true if others were lost together with it, so that the upstream
    // is not to blame.
    bool connectionLost(const UpstreamId&, TimePoint now);

    // Returns the upstreams to check now, each by a connection, and begins a round; empty if none is due.
    std::vector<UpstreamEntry> beginRound(const std::map<ServiceId, std::vector<UpstreamEntry>>&, TimePoint now);
    // A check of the round ended.
    void checkEnded(bool isReached, TimePoint now);

    bool isLost() const { return m_lostAt.has_value(); }
    // Whether the links were lost at any time since then.
    bool wereLostSince(TimePoint since) const { return isLost() || m_regainedAt > since; }
    // Failures that are the upstreams' own.
    std::vector<SilentUpstream> takeFailures() { return std::exchange(m_confirmed, {}); }
    std::vector<LinkEvent> takeEvents() { return std::exchange(m_events, {}); }

private:
    struct Round {
        std::size_t checks = 0;
        TimePoint beganAt {};
        std::size_t ended = 0;
        std::size_t reached = 0;
    };

    void confirmFailures();
    void endRound(TimePoint now);

    LinkMonitorSettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_connectedAt {};
    std::optional<TimePoint> m_lostAt;
    TimePoint m_regainedAt {};
    std::optional<Round> m_round;
    TimePoint m_roundEndedAt {};
    TimePoint m_fullUntil {};
    int m_goodRounds = 0;
    bool m_isSuspected = false;
    std::vector<SilentUpstream> m_failures;
    std::vector<SilentUpstream> m_confirmed;
    std::vector<LinkEvent> m_events;
    std::map<UpstreamId, TimePoint> m_lostConnections;
};

}
