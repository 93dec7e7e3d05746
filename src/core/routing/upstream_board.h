#pragma once

// What an instance knows of the load and the behaviour of each upstream, and the choice of one for a request.

#include "core/membership/fleet_beat.h"
#include "core/requests/routed_request.h"
#include "core/requests/upstream_answer.h"
#include "core/routing/routing_configuration.h"
#include "core/routing/upstream_roster.h"

#include <absl/container/flat_hash_map.h>
#include <random>

namespace skylarkhitch {

struct UpstreamBoardSettings {
    // Failures in a row after which an upstream gets no work for a while.
    int failuresToEject = 3;
    Milliseconds firstEjection { 1000 };
    Milliseconds longestEjection { 8000 };
    // Work of one request in the unit of prompt tokens: what its answer adds to an engine's load.
    std::int64_t requestWork = 150;
    // Work that a home may have beyond another engine's, for each shared prompt token that it need not read again, whatever
    // the model: what it saves is time on the engine and the price of reading (medians of five seeds: MEASUREMENTS.md).
    double homeBonus = 3;
    // Work that another failure domain's engine seems to have beside its own: bytes between domains are priced.
    std::int64_t otherDomainWork = 1500;
    // Reports of upstreams older than this say nothing.
    Milliseconds reportTime { 1000 };
};

// Whom a request may go to.
struct UpstreamQuestion {
    const RoutedRequest* request = nullptr;
    const RoutedService* service = nullptr;
    // Those that the roster and the roll-out allow.
    std::vector<const UpstreamEntry*> allowed;
    // Those that had the request already.
    const std::vector<UpstreamId>* tried = nullptr;
    DomainId ownDomain;
};

class UpstreamBoard {
public:
    explicit UpstreamBoard(std::uint64_t seed, UpstreamBoardSettings settings = {})
        : m_settings(settings)
        , m_random(seed)
    {
    }

    // Null if none may take the request now.
    const UpstreamEntry* choose(const UpstreamQuestion&, TimePoint now);

    void sent(const UpstreamId&, std::int64_t promptTokens);
    // The first event came: the prompt is read.
    void begun(const UpstreamId&, std::int64_t promptTokens);
    void ended(const UpstreamId&, std::int64_t promptTokens, bool wasBegun);

    // A first event came after this time on an engine that had so much work, the request's own included.
    void learnPace(std::int64_t work, Milliseconds firstEvent);
    void learnPrompt(const std::string& route, std::int64_t tokens);
    // Milliseconds that an engine takes for one unit of work.
    double pace() const { return m_pace; }
    // Length of a route's usual prompt beside that of all routes.
    double promptRatio(const std::string& route) const;
    double meanWork(const std::vector<const UpstreamEntry*>&) const;

    void reported(const UpstreamId&, const ReportedLoad&, TimePoint now);
    void succeeded(const UpstreamId&);
    // True if the upstream gets no work for a while because of this failure.
    bool failed(const UpstreamId&, TimePoint now);

    // Work of all other instances, from their beats.
    void learnPeerWork(absl::flat_hash_map<UpstreamId, UpstreamWork>);
    std::map<UpstreamId, UpstreamWork> ownWork() const;
    // Drops what is known of upstreams that are no more.
    void keepOnly(const std::vector<UpstreamEntry>&);

    bool isEjected(const UpstreamId&, TimePoint now) const;
    // Requests that all instances have on an upstream.
    std::int64_t requestsOn(const UpstreamId&) const;
    std::int64_t workOn(const UpstreamId&) const;

private:
    struct State {
        UpstreamWork own;
        int failuresInRow = 0;
        int ejections = 0;
        TimePoint ejectedUntil {};
        ReportedLoad report;
        TimePoint reportedAt {};
    };

    std::vector<const UpstreamEntry*> candidates(const UpstreamQuestion&, TimePoint now) const;
    const UpstreamEntry* chooseEngine(const UpstreamQuestion&, const std::vector<const UpstreamEntry*>&);
    const UpstreamEntry* choosePlain(const UpstreamQuestion&, const std::vector<const UpstreamEntry*>&, TimePoint now);
    double plainLoad(const UpstreamEntry&, TimePoint now) const;

    UpstreamBoardSettings m_settings;
    std::mt19937_64 m_random;
    // Both are learned, from guesses for a large model and a medium prompt.
    double m_pace = 0.05;
    double m_meanPrompt = 2000;
    absl::flat_hash_map<std::string, double> m_routePrompts;
    absl::flat_hash_map<UpstreamId, State> m_states;
    absl::flat_hash_map<UpstreamId, UpstreamWork> m_peerWork;
};

}
