#include "core/scheduling/prompt_homes.h"

#include "core/hashing.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace skylarkhitch {

void PromptHomes::recordRequest(const PromptPrefixes& prefixes, double work, std::size_t engines, TimePoint now)
{
    for (const auto& it : prefixes) {
        auto& heat = m_prefixes.touch(it.key);
        heat.requests.add(1, now);
        if (it.key != prefixes.back().key)
            continue;
        // The request itself does not count, since a single one says nothing of a rate.
        auto total = m_totalWork.value(now);
        auto wanted = total > 0 ? heat.work.value(now) / total * static_cast<double>(engines) / maxEngineFraction : 0;
        auto homes = static_cast<double>(heat.homes);
        if (wanted > homes || wanted < homes - shrinkMargin)
            heat.homes = static_cast<std::size_t>(std::ceil(wanted));
        heat.homes = std::clamp<std::size_t>(heat.homes, 1, std::max<std::size_t>(1, engines));
        heat.work.add(work, now);
    }
    m_totalWork.add(work, now);
}

std::size_t PromptHomes::homeCount(const PromptPrefix& prefix) const
{
    const auto* heat = m_prefixes.find(prefix.key);
    return heat ? heat->homes : 1;
}

double PromptHomes::requestsPerSecond(const PromptPrefix& prefix, TimePoint now) const
{
    const auto* heat = m_prefixes.find(prefix.key);
    return heat ? heat->requests.perSecond(now) : 0;
}

std::vector<std::size_t> homeRanks(const PromptPrefix& prefix, const std::vector<const UpstreamEntry*>& engines, const std::vector<bool>& isCandidate, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(engines.size());
    auto key = absl::StrCat(prefix.key);
    for (std::size_t n = 0; n < engines.size(); ++n) {
        if (isCandidate[n])
            order.emplace_back(hashOf(key, engines[n]->id.value), n);
    }
    auto ranked = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(ranked), order.end(), std::greater<>());
    std::vector<std::size_t> ranks(engines.size(), count);
    for (std::size_t n = 0; n < ranked; ++n)
        ranks[order[n].second] = n;
    return ranks;
}

}
