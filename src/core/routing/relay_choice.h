#pragma once

// Chooses the peer by way of which a request goes while this instance has lost its links to the upstreams.

#include "core/ids.h"

#include <map>
#include <random>
#include <set>
#include <vector>

namespace skylarkhitch {

// A peer that reaches the upstreams.
struct RelayCandidate {
    InstanceId id;
    DomainId domain;
    // For requests, ip:port.
    std::string address;
};

class RelayChoice {
public:
    explicit RelayChoice(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // Returns the peer with fewer requests of this instance of two that are drawn at random; one in the own domain wins a tie.
    // Peers that were tried already are left out. Returns null if none is left.
    const RelayCandidate* choose(const std::vector<RelayCandidate>&, const DomainId& ownDomain, const std::set<InstanceId>& tried);
    void begun(const InstanceId& peer) { ++m_inFlight[peer]; }
    void ended(const InstanceId& peer);

private:
    std::mt19937_64 m_random;
    // Requests of this instance that each peer is serving.
    std::map<InstanceId, std::int64_t> m_inFlight;
};

}
