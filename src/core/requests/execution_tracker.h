#pragma once

// Determines what an error response reports about whether the request was executed. This is decided nowhere else, except
// that requests rejected by the caller API, before they reach the core, are reported as not executed.

#include "core/messages.h"

namespace skylarkhitch {

// Whether callers take a status to mean that the request was not run. It says nothing of whether an upstream that responds with it has
// run the request: only UpstreamResponse::notRun does.
constexpr bool impliesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

// Tracks the attempts of one request.
class ExecutionTracker {
public:
    void attemptSent() { ++m_attemptsInFlight; }

    // Records the end of an attempt. An unsuccessful attempt rules out execution only if nothing was sent to the upstream
    // or the upstream itself reported that it did not execute the request.
    void attemptEnded(AttemptEnd end)
    {
        --m_attemptsInFlight;
        if (end == AttemptEnd::Completed)
            m_ran = true;
        else if (end != AttemptEnd::NotSent && end != AttemptEnd::RefusedNotRun)
            m_mayHaveRun = true;
    }

    // Records that another request with the same idempotency key may have been executed.
    void mayHaveRunElsewhere() { m_mayHaveRun = true; }

    Executed executed() const
    {
        if (m_ran)
            return Executed::Yes;
        return m_mayHaveRun || m_attemptsInFlight > 0 ? Executed::Unknown : Executed::No;
    }

private:
    int m_attemptsInFlight = 0;
    bool m_mayHaveRun = false;
    bool m_ran = false;
};

}
