#pragma once

// This instance's part of a service's budget for repeats, that is, sends beyond the first of each request. Over all
// instances together, the budget is a fraction of the requests in a sliding window plus a fixed number.

#include "core/ids.h"

#include <deque>

namespace skylarkhitch {

struct ServiceRetryBudgetSettings {
    // Repeats allowed per request in the window.
    double ratio = 0.2;
    // Additional repeats allowed per window, for all instances together.
    double fixedAllowance = 10;
    Milliseconds window { 10000 };
};

class ServiceRetryBudget {
public:
    // Fraction of the budget that is used, since the windows of the instances are not aligned.
    static constexpr double safetyFactor = 0.9;

    // Fraction of the budget available for sends to a larger model. The rest is reserved for broken answers, whose callers
    // would otherwise get nothing.
    static constexpr double largerModelFraction = 0.75;

    explicit ServiceRetryBudget(ServiceRetryBudgetSettings settings)
        : m_settings(settings)
    {
    }

    void requestArrived(TimePoint now);
    // Consumes one repeat if `part` of the budget allows it; the fixed number is divided by the count of live instances.
    bool take(std::size_t liveInstances, TimePoint now, double part = 1);

private:
    void dropExpired(TimePoint now);

    ServiceRetryBudgetSettings m_settings;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

}
