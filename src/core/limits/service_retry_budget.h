#pragma once

// This instance's part of a service's retry budget. A retry is any attempt after the first of a request, also on a larger
// model. Over all instances together, the budget is a fraction of the requests in a sliding window plus a fixed number.

#include "core/ids.h"

#include <deque>

namespace skylarkhitch {

struct ServiceRetryBudgetSettings {
    // Retries allowed per request in the window.
    double ratio = 0.2;
    // Additional retries allowed per window, for all instances together.
    double fixedAllowance = 10;
    Milliseconds window { 10000 };
};

class ServiceRetryBudget {
public:
    // Fraction of the budget that is used, to stay within the limit although the windows of the instances are not aligned.
    static constexpr double safetyFactor = 0.9;

    // Fraction of the budget available for retries on a larger model. The rest is reserved for retries of failed attempts,
    // whose callers would otherwise get no response.
    static constexpr double largerModelFraction = 0.75;

    explicit ServiceRetryBudget(ServiceRetryBudgetSettings settings)
        : m_settings(settings)
    {
    }

    void requestArrived(TimePoint now);
    // Consumes one retry if the retries in the window stay within the fraction `part` of the budget. The fixed number is
    // divided by the count of live instances.
    bool take(std::size_t knownInstances, TimePoint now, double part = 1);

private:
    void dropExpired(TimePoint now);

    ServiceRetryBudgetSettings m_settings;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

}
