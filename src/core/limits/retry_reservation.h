#pragma once

// The retry of one request that was taken from its service's budget and not sent yet. The budget counts what upstreams receive, so an
// attempt that reached no upstream leaves its retry to the next one.

#include "core/limits/service_retry_budget.h"

#include <utility>

namespace skylarkhitch {

class RetryReservation {
public:
    // Takes a retry from the budget unless one is held already, see ServiceRetryBudget::take(). Returns whether one is held.
    bool take(ServiceRetryBudget& budget, std::size_t knownInstances, TimePoint now, double part = 1)
    {
        if (!m_isHeld)
            m_isHeld = budget.take(knownInstances, now, part);
        return m_isHeld;
    }

    // An attempt was sent to an upstream. Uses up the retry that is held, if any.
    void sent() { m_isHeld = false; }
    bool isHeld() const { return m_isHeld; }

private:
    bool m_isHeld = false;
};

}
