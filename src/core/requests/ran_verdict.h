#pragma once

// The one place that decides what a refusal says about whether the request was run.

#include "core/messages.h"

namespace skylarkhitch {

// Follows the attempts of one request.
class RanVerdict {
public:
    void attemptSent() { ++m_open; }

    // An attempt ended. It proves that the request was not run only if nothing left for the upstream, or the upstream
    // itself said so.
    void attemptEnded(AttemptEnd end)
    {
        --m_open;
        if (end == AttemptEnd::Completed)
            m_ran = true;
        else if (end != AttemptEnd::NotSent && end != AttemptEnd::RefusedNotRun)
            m_unsure = true;
    }

    // Another request of the same call may have run.
    void mayHaveRunElsewhere() { m_unsure = true; }

    Ran verdict() const
    {
        if (m_ran)
            return Ran::Yes;
        return m_unsure || m_open > 0 ? Ran::Unknown : Ran::No;
    }

private:
    int m_open = 0;
    bool m_unsure = false;
    bool m_ran = false;
};

}
