#include "core/hashing.h"

#include <algorithm>
#include <xxhash.h>

namespace skylarkhitch {

std::uint64_t hashOf(std::string_view first, std::string_view second)
{
    auto seed = XXH3_64bits(first.data(), first.size());
    return XXH3_64bits_withSeed(second.data(), second.size(), seed);
}

double unitHash(std::string_view first, std::string_view second)
{
    constexpr double twoTo53 = 9007199254740992.0;
    return static_cast<double>(hashOf(first, second) >> 11) / twoTo53;
}

std::vector<InstanceId> rendezvousOrder(std::string_view key, const std::vector<InstanceId>& members)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> weighted;
    weighted.reserve(members.size());
    for (const auto& it : members)
        weighted.emplace_back(hashOf(key, it.value), it);
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<InstanceId> order;
    order.reserve(weighted.size());
    for (auto& it : weighted)
        order.push_back(std::move(it.second));
    return order;
}

}
