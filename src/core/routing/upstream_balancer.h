#pragma once

// Tracks the load and the failures of each upstream, and chooses an upstream for each request.

#include "core/membership/fleet_heartbeat.h"
#include "core/requests/routed_request.h"
#include "core/requests/upstream_response.h"
#include "core/routing/routing_configuration.h"
#include "core/routing/upstream_registry.h"

#include <absl/container/flat_hash_map.h>
#include <random>

namespace skylarkhitch {

struct UpstreamBalancerSettings {
    // Consecutive failures after which an upstream is ejected for a while.
    int failuresToEject = 3;
    // Each ejection lasts twice as long as the previous one, up to the maximum; a success resets the duration.
    Milliseconds initialEjection { 1000 };
    Milliseconds maxEjection { 8000 };
    // Load that generating the response to one request adds to an engine, in prompt tokens.
    std::int64_t workPerRequest = 150;
    // Extra work, per shared prompt token, that the engine with the affinity for the prompt may have before another engine is
    // chosen. On another engine, reading the cached prefix again would cost engine time and the price of the tokens. The same
    // for all models.
    double affinityCredit = 3;
    // Penalty for an engine in another failure domain, as extra work, since traffic between domains is charged for.
    std::int64_t crossDomainPenalty = 1500;
    // Load reports of upstreams older than this are ignored.
    Milliseconds maxReportAge { 1000 };
};

// A request and the upstreams that it may be sent to.
struct UpstreamQuery {
    const RoutedRequest* request = nullptr;
    const RoutedService* service = nullptr;
    // Upstreams that are registered and allowed by the rollout.
    std::vector<const UpstreamEntry*> allowed;
    // Upstreams that this request was already sent to, on its current model.
    const std::vector<UpstreamId>* tried = nullptr;
    DomainId ownDomain;
    // The request may crash its upstream, so one with few other requests is chosen.
    bool mayCrash = false;
};

class UpstreamBalancer {
public:
    explicit UpstreamBalancer(std::uint64_t seed, UpstreamBalancerSettings settings = {})
        : m_settings(settings)
        , m_random(seed)
    {
    }

    // Chooses an upstream, or returns null if none is left. Ejected upstreams are chosen only if there are no others.
    const UpstreamEntry* choose(const UpstreamQuery&, TimePoint now);

    // In sent(), begun() and ended(), `promptTokens` is weighted by the cost of the model, see modelWeight().
    void sent(const UpstreamId&, std::int64_t promptTokens);
    // The first event arrived, so the engine has read the prompt.
    void begun(const UpstreamId&, std::int64_t promptTokens);
    // `promptWasRead` tells whether begun() was called for the request.
    void ended(const UpstreamId&, std::int64_t promptTokens, bool promptWasRead);

    // Updates the time per token from the time to the first event on an engine with this much work, including the request.
    void recordFirstEvent(std::int64_t work, Milliseconds firstEvent);
    // Updates the mean prompt lengths of the route and of all routes.
    void recordPrompt(const std::string& route, std::int64_t tokens);
    // Estimated milliseconds that an engine takes per unit of work.
    double millisecondsPerToken() const { return m_millisecondsPerToken; }
    // Mean prompt length of a route relative to that of all routes.
    double promptRatio(const std::string& route) const;
    // Mean of workOn() over these engines.
    double meanWork(const std::vector<const UpstreamEntry*>&) const;

    // Stores the load that the upstream reported.
    void reported(const UpstreamId&, const ReportedLoad&, TimePoint now);
    void succeeded(const UpstreamId&);
    // Records a failure; true if the upstream is ejected because of it. Failures during an ejection do not count.
    bool failed(const UpstreamId&, TimePoint now);

    // Replaces the work of all other instances, taken from their heartbeats.
    void setPeerWork(absl::flat_hash_map<UpstreamId, UpstreamWork>);
    std::map<UpstreamId, UpstreamWork> ownWork() const;
    // Drops the state of upstreams that are not listed and have none of this instance's requests.
    void keepOnly(const std::vector<UpstreamEntry>&);

    bool isEjected(const UpstreamId&, TimePoint now) const;
    // Requests of this instance on an upstream.
    std::int64_t ownRequestsOn(const UpstreamId&) const;
    // Requests of all instances on an upstream.
    std::int64_t requestsOn(const UpstreamId&) const;
    // Work of all instances on an upstream, in prompt tokens: prompts not yet read, and workPerRequest for each request.
    std::int64_t workOn(const UpstreamId&) const;

private:
    struct State {
        UpstreamWork own;
        int consecutiveFailures = 0;
        // Ejections since the last success.
        int ejections = 0;
        TimePoint ejectedUntil {};
        ReportedLoad report;
        TimePoint reportedAt {};
    };

    std::vector<const UpstreamEntry*> candidates(const UpstreamQuery&, TimePoint now) const;
    const UpstreamEntry* chooseEngine(const UpstreamQuery&, const std::vector<const UpstreamEntry*>&);
    const UpstreamEntry* chooseLeastLoaded(const std::vector<const UpstreamEntry*>&, TimePoint now) const;
    const UpstreamEntry* chooseByRoom(const UpstreamQuery&, const std::vector<const UpstreamEntry*>&, TimePoint now);
    double loadPerSlot(const UpstreamEntry&, TimePoint now) const;

    UpstreamBalancerSettings m_settings;
    std::mt19937_64 m_random;
    // Moving averages; the initial values are for a large model and a prompt of medium length.
    double m_millisecondsPerToken = 0.05;
    double m_meanPromptTokens = 2000;
    absl::flat_hash_map<std::string, double> m_routePromptTokens;
    absl::flat_hash_map<UpstreamId, State> m_states;
    absl::flat_hash_map<UpstreamId, UpstreamWork> m_peerWork;
};

}
