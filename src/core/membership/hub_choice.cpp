#include "core/membership/hub_choice.h"

#include "core/hashing.h"

#include <algorithm>
#include <tuple>

namespace skylarkhitch {

namespace {

    // The lower one comes first.
    std::pair<std::int64_t, std::uint64_t> rankOf(const HubChoice::Instance& it) { return { -it.capacity, hashOf("hub", it.address) }; }

}

std::vector<HubChoice::Instance> HubChoice::choose(const std::vector<Instance>& instances, TimePoint now)
{
    std::vector<std::tuple<bool, std::pair<std::int64_t, std::uint64_t>, const Instance*>> ranked;
    ranked.reserve(instances.size());
    for (const auto& it : instances)
        ranked.emplace_back(!it.isLive, rankOf(it), &it);
    std::sort(ranked.begin(), ranked.end());
    std::vector<Instance> hubs;
    absl::flat_hash_map<std::string, Candidate> asked;
    for (const auto& [isDead, rank, instance] : ranked) {
        const auto& address = instance->address;
        auto heardAt = instance->lastHeardAt;
        auto known = m_candidates.find(address);
        auto candidate = known == m_candidates.end() ? Candidate { now, {} } : known->second;
        if (now < candidate.passedOverUntil && heardAt <= candidate.passedOverUntil - retryTime) {
            asked[address] = candidate;
            continue;
        }
        if (candidate.passedOverUntil != TimePoint {})
            candidate = { now, {} };
        if (now - std::max(candidate.askedAt, heardAt) > answerTime) {
            asked[address] = { candidate.askedAt, now + retryTime };
            continue;
        }
        asked[address] = candidate;
        hubs.push_back(*instance);
        if (hubs.size() == hubsPerDomain)
            break;
    }
    m_candidates = std::move(asked);
    return hubs;
}

bool HubChoice::isAmongHubs(const Instance& instance, const std::vector<Instance>& hubs)
{
    return hubs.size() < hubsPerDomain || rankOf(instance) < rankOf(hubs[hubsPerDomain - 1]);
}

}
