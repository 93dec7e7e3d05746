#include "core/routing/entry_choice.h"

#include "core/hashing.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    // Maximum number of alternatives returned besides the chosen instance.
    constexpr std::size_t maxAlternatives = 3;
    // An instance is overloaded if its load exceeds both this multiple of the mean load and minLoadBound requests.
    constexpr double maxLoadRatio = 1.25;
    constexpr double minLoadBound = 8;

    struct Candidate {
        InstanceId id;
        std::string address;
        DomainId domain;
        double load = 0;
    };

    double loadOf(const Heartbeat& heartbeat)
    {
        std::int64_t sum = 0;
        for (const auto& [id, n] : heartbeat.upstreams)
            sum += n.inFlight;
        return static_cast<double>(sum);
    }

    std::vector<Candidate> candidates(const Membership& membership, bool selfLeaving, std::int64_t ownInFlight)
    {
        std::vector<Candidate> all;
        if (!selfLeaving)
            all.push_back({ membership.self().instance, membership.entryAddress(), membership.domain(), static_cast<double>(ownInFlight) });
        for (const auto& [id, member] : membership.members()) {
            if (member.state == MemberState::Live)
                all.push_back({ id, member.heartbeat.entryAddress, member.heartbeat.domain, loadOf(member.heartbeat) });
        }
        return all;
    }

}

EntryResponse chooseEntry(const Membership& membership, const EntryQuery& query, bool selfLeaving, std::int64_t ownInFlight)
{
    auto all = candidates(membership, selfLeaving, ownInFlight);
    if (all.empty())
        return { membership.entryAddress(), {} };
    double mean = 0;
    for (const auto& it : all)
        mean += it.load / static_cast<double>(all.size());
    double bound = std::max(minLoadBound, maxLoadRatio * mean);
    // Not overloaded first, then the caller's domain, then by rendezvous weight.
    std::sort(all.begin(), all.end(), [&](const auto& a, const auto& b) {
        auto sortKey = [&](const Candidate& it) {
            return std::tuple(it.load > bound, !query.domain.empty() && it.domain != query.domain, ~hashOf(query.key, it.id.value));
        };
        return sortKey(a) < sortKey(b);
    });
    EntryResponse response { all.front().address, {} };
    for (std::size_t n = 1; n < all.size() && n <= maxAlternatives; ++n)
        response.alternatives.push_back(all[n].address);
    return response;
}

}
