#pragma once

// Estimates which fraction of all prompt tokens belongs to prompts that share a part, from the requests of this instance.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace skylarkhitch {

class SharedPartDemand {
public:
    // Counts a prompt with this shared part, and returns the fraction of the tokens of recent prompts that belong to prompts with it,
    // from 0 to 1.
    double record(std::string_view part, std::int64_t promptTokens);

private:
    // Parts with equal hashes are counted together.
    static constexpr std::size_t counters = 256;
    // Recorded prompts after which all counts are halved.
    static constexpr int halvingPeriod = 512;

    void halve();

    std::array<double, counters> m_tokens {};
    double m_total = 0;
    int m_recorded = 0;
};

}
