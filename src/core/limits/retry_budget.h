#pragma once

// Bounds retries to a share of successes (a token bucket filled by successes), so that a failing pool is not hit
// with a multiple of its load.

#include <algorithm>

namespace skylarkhitch {

class RetryBudget {
public:
    void succeeded(double share) { m_tokens = std::min(m_tokens + share, largest); }
    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    // Retries that may come at once after a long good spell.
    static constexpr double largest = 50;
    // Lets the first requests of an instance be retried.
    double m_tokens = 10;
};

}
