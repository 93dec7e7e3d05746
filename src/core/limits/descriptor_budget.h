#pragma once

// Bounds the connections of callers, so that descriptors are left for upstreams, the store and peers. A caller's request that is
// served may open two more: to its upstream and to the one that is asked to take over.

#include <algorithm>
#include <cstdint>

namespace skylarkhitch {

class DescriptorBudget {
public:
    // A budget of 0 sets no bound. Each request in service takes `perRequest` beside its connection.
    explicit DescriptorBudget(std::int64_t descriptors = 0, std::int64_t perRequest = upstreamsPerRequest)
        : m_descriptors(descriptors)
        , m_perRequest(perRequest)
    {
    }

    // Budgets of a process that may open this many descriptors, for callers' requests and for the requests of the platform; without a
    // bound if the limit is not known (0).
    static DescriptorBudget forCallers(std::int64_t limit) { return DescriptorBudget(limit > 0 ? std::max(minDescriptors, limit * 3 / 4 - processDescriptors) : 0); }
    static DescriptorBudget forPlatform(std::int64_t limit) { return DescriptorBudget(limit > 0 ? std::max(minDescriptors, limit / 16) : 0, 0); }

    // Whether there may be this many open connections of callers, of which so many serve a request.
    bool allows(std::int64_t connections, std::int64_t requests) const { return m_descriptors == 0 || connections + requests * m_perRequest <= m_descriptors; }

private:
    static constexpr std::int64_t upstreamsPerRequest = 2;
    // Listeners, timers, the store, peers, and connections to upstreams that are kept.
    static constexpr std::int64_t processDescriptors = 16;
    static constexpr std::int64_t minDescriptors = 8;

    std::int64_t m_descriptors;
    std::int64_t m_perRequest;
};

}
