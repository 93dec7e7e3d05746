#pragma once

// Tells when the use of a resource comes close to its limit and when it is well below again. Use that stays near the limit, or
// varies a little there, is told once.

#include <cstdint>

namespace skylarkhitch {

class ResourceWatch {
public:
    // Parts of the limit, in percent: use above the first is near the limit, until it is no more than the second.
    static constexpr std::int64_t nearPercent = 80;
    static constexpr std::int64_t clearPercent = 70;

    enum class Change { None,
        NearlyExhausted,
        Recovered };

    // A limit of 0 is not known, and nothing is near it.
    explicit ResourceWatch(std::int64_t limit)
        : m_limit(limit)
    {
    }

    std::int64_t limit() const { return m_limit; }
    // Use in percent of a limit that is known.
    std::int64_t percent(std::int64_t used) const { return static_cast<std::int64_t>(static_cast<double>(used) * 100 / static_cast<double>(m_limit)); }
    // Takes the present use and returns what it changes.
    Change update(std::int64_t used);

private:
    std::int64_t m_limit;
    bool m_isNear = false;
};

}
