#include "core/scheduling/shared_part_demand.h"

#include "core/hashing.h"

#include <algorithm>

namespace skylarkhitch {

double SharedPartDemand::record(std::string_view part, std::int64_t promptTokens)
{
    if (++m_recorded % halvingPeriod == 0)
        halve();
    // Tokens without the part that are assumed in addition, so that the first prompts do not count as all.
    static constexpr double priorPrompts = 20;
    auto tokens = static_cast<double>(std::max<std::int64_t>(1, promptTokens));
    auto& counted = m_tokens[hashOf("part", part) % counters];
    counted += tokens;
    m_total += tokens;
    return counted / (m_total + priorPrompts * tokens);
}

void SharedPartDemand::halve()
{
    for (auto& it : m_tokens)
        it /= 2;
    m_total /= 2;
}

}
