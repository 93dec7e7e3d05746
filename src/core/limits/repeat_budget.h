#pragma once

// This instance's part of a service's budget for sends beyond the first of each request. The site allows a share of the
// requests of a sliding window and a fixed number beside it, over all instances together.

#include "core/ids.h"

#include <deque>

namespace skylarkhitch {

struct RepeatBudgetSettings {
    // Repeats allowed for each request of the window.
    double ratio = 0.2;
    // Repeats allowed beside these in one window, for the whole site.
    double siteHeadroom = 10;
    Milliseconds window { 10000 };
};

class RepeatBudget {
public:
    // Part of the site's allowance that is used: the instances' windows do not begin together.
    static constexpr double safety = 0.9;

    // Part that sends to a larger model may use: the rest is for answers that broke, whose callers have nothing else.
    static constexpr double partForDoubts = 0.75;

    explicit RepeatBudget(RepeatBudgetSettings settings)
        : m_settings(settings)
    {
    }

    void requestArrived(TimePoint now);
    // Takes one repeat if a part of the budget allows it, as one of so many live instances.
    bool take(std::size_t liveInstances, TimePoint now, double part = 1);

private:
    void forget(TimePoint now);

    RepeatBudgetSettings m_settings;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats;
};

}
