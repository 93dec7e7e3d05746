#pragma once

// Limits retries to a fraction of successes, with a token bucket that successes refill, so that retries do not multiply
// the load on a failing pool.

#include <algorithm>

namespace skylarkhitch {

class RetryBudget {
public:
    // Adds `share` of a token for a successful request: the retries allowed per success.
    void succeeded(double share) { m_tokens = std::min(m_tokens + share, maxTokens); }
    // Consumes a token for a retry; false if none is left.
    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    // Largest burst of retries after a long period of successes.
    static constexpr double maxTokens = 50;
    // The initial tokens allow retries before the first successes.
    double m_tokens = 10;
};

}
