#include "core/routing/relay_choice.h"

#include <algorithm>

namespace skylarkhitch {

const RelayCandidate* RelayChoice::choose(const std::vector<RelayCandidate>& candidates, const DomainId& ownDomain, const std::set<InstanceId>& tried)
{
    std::vector<const RelayCandidate*> left;
    for (const auto& it : candidates) {
        if (!tried.contains(it.id))
            left.push_back(&it);
    }
    if (left.empty())
        return nullptr;
    auto draw = [&] { return left[std::uniform_int_distribution<std::size_t>(0, left.size() - 1)(m_random)]; };
    auto cost = [&](const RelayCandidate* it) {
        auto inFlight = m_inFlight.find(it->id);
        return std::pair(inFlight == m_inFlight.end() ? 0 : inFlight->second, it->domain == ownDomain ? 0 : 1);
    };
    const auto* first = draw();
    const auto* second = draw();
    return cost(second) < cost(first) ? second : first;
}

void RelayChoice::ended(const InstanceId& peer)
{
    auto it = m_inFlight.find(peer);
    if (it != m_inFlight.end() && --it->second <= 0)
        m_inFlight.erase(it);
}

}
