#pragma once

// Tracks the load, the speed and the failures of each upstream, and chooses an upstream for each request.

#include "core/membership/fleet_heartbeat.h"
#include "core/requests/routed_request.h"
#include "core/requests/upstream_response.h"
#include "core/routing/routing_configuration.h"
#include "core/routing/upstream_registry.h"
#include "core/scheduling/engine_placement.h"
#include "core/scheduling/engine_speed.h"
#include "core/scheduling/prompt_placement.h"
#include "core/scheduling/shared_part_demand.h"

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
    // Whether engines are chosen by their estimated speed and memory, and by the work that other instances are expected to have sent
    // since their last heartbeats. Without it, engines count as equally fast and their memory as unlimited.
    bool usesEngineEstimates = false;
    // Age of the work in heartbeats of other instances when it is taken in.
    Milliseconds peerWorkAge { 250 };
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
    // The rest is used for engines only.
    ModelId model;
    std::int64_t rank = 0;
    // Time until the route's target latency.
    Milliseconds timeLeft = Milliseconds::max();
    // See UpstreamBalancer::commitment().
    MemoryCommitment memory;
    // Tokens of the prompt that engines have cached; engines that are not listed have none. Null if unknown, so that the engine with
    // the affinity for the shared part is taken to have it.
    const absl::flat_hash_map<UpstreamId, std::int64_t>* cachedTokens = nullptr;
    // The same with the work that the caches are worth. Used instead of cachedTokens if set.
    const PromptCredits* promptCredits = nullptr;
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

    // Figures of the last choice, for the log; without an entry if it was not made by the work of engines.
    const Placement& lastPlacement() const { return m_lastPlacement; }

    // Memory that a request of the route will need on an engine by its end.
    MemoryCommitment commitment(const std::string& route, const RoutedRequest&) const;

    // In sent(), begun() and ended(), `promptTokens` is weighted by the cost of the model, see modelWeight(). The memory is the same in
    // sent() and ended().
    void sent(const UpstreamId&, std::int64_t promptTokens, const MemoryCommitment& = {});
    // The first event arrived, so the engine has read the prompt.
    void begun(const UpstreamId&, std::int64_t promptTokens);
    // `promptWasRead` tells whether begun() was called for the request.
    void ended(const UpstreamId&, std::int64_t promptTokens, bool promptWasRead, const MemoryCommitment& = {});

    // Updates the time per token from the time to the first event on an engine with this much work, including the request.
    void recordFirstEvent(std::int64_t work, Milliseconds firstEvent);
    // The same, and the estimate of the engine's speed.
    void recordFirstEvent(const UpstreamEntry&, const ModelId&, const FirstEvent&, TimePoint now);
    // Time between two events of a stream that the caller did not hold up.
    void recordGap(const UpstreamEntry&, const ModelId&, Microseconds gap, TimePoint now);
    // The number of tokens that a request generated until its regular end.
    void recordOutput(const std::string& route, const RoutedRequest&, std::int64_t tokens);
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
    // The same, with the pace of the engine.
    void reported(const UpstreamEntry&, const ReportedLoad&, TimePoint now);
    void succeeded(const UpstreamId&);
    // Records a failure; true if the upstream is ejected because of it. Failures during an ejection do not count.
    bool failed(const UpstreamId&, TimePoint now);

    // Replaces the work and the observations of all other instances, taken from their heartbeats.
    void setPeerWork(absl::flat_hash_map<UpstreamId, UpstreamWork>, TimePoint now = {});
    // The place of this instance among all instances, see EngineDraws.
    void setInstance(std::size_t place, std::size_t instances) { m_draws.setInstance(place, instances); }
    std::map<UpstreamId, UpstreamWork> ownWork(TimePoint now = {}) const;
    // Drops the state of upstreams that are not listed and have none of this instance's requests.
    void keepOnly(const std::vector<UpstreamEntry>&);

    bool isEjected(const UpstreamId&, TimePoint now) const;
    // Requests of this instance on an upstream.
    std::int64_t ownRequestsOn(const UpstreamId&) const;
    // Requests of all instances on an upstream.
    std::int64_t requestsOn(const UpstreamId&) const;
    // Work of all instances on an upstream, in prompt tokens: prompts not yet read, and workPerRequest for each request.
    std::int64_t workOn(const UpstreamId&) const;
    // Memory of an engine that the requests of all instances need by their end.
    MemoryCommitment committedOn(const UpstreamId&) const;
    // Speed of an engine relative to the mean of its service.
    double speedOf(const UpstreamId& id, TimePoint now) const { return m_speeds.speed(id, now); }

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
    const UpstreamEntry* chooseEngine(const UpstreamQuery&, const std::vector<const UpstreamEntry*>&, TimePoint now);
    std::vector<EngineCandidate> engineCandidates(const UpstreamQuery&, const std::vector<const UpstreamEntry*>&, TimePoint now) const;
    // Work of all instances on an upstream.
    UpstreamWork sumOn(const UpstreamId&) const;
    // Work that other instances are expected to have sent to these engines since their heartbeats.
    double unreportedWork(const std::vector<const UpstreamEntry*>&, TimePoint now) const;
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
    TimePoint m_peerWorkAt {};
    // Moving averages over own requests, which give the mean time that a unit of work waits until it is read.
    double m_meanPromptWork = 2000;
    double m_meanPromptWorkSeconds = 600;
    EngineSpeeds m_speeds;
    OutputLengths m_outputs;
    EngineDraws m_draws;
    SharedPartDemand m_partDemand;
    Placement m_lastPlacement;
};

}
