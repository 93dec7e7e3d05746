#include "core/scheduling/retry_decision.h"

namespace skylarkhitch {

namespace {

    // Attempts allowed beyond the route's own limit, for upstreams that could not be reached.
    constexpr std::size_t maxUnreachableUpstreams = 6;

}

RetryDecision decideOnRetry(AttemptEnd end, const RetryState& state)
{
    if (state.timeLeft < minUsefulTime || !state.fitsBeforeExit || state.triedUpstreams >= maxUnreachableUpstreams + static_cast<std::size_t>(state.maxAttempts))
        return RetryDecision::Denied;
    if (end == AttemptEnd::NotSent && state.deliveredAttempts == 0 && state.executed == Executed::No)
        return RetryDecision::Free;
    bool mayHaveRun = end != AttemptEnd::NotSent && end != AttemptEnd::RefusedNotRun;
    if (mayHaveRun && !state.isRetryable)
        return RetryDecision::Denied;
    if (end == AttemptEnd::Cut && state.isRetryUnsafe)
        return RetryDecision::Denied;
    if (state.possibleRuns >= state.maxAttempts || state.isRefused)
        return RetryDecision::Denied;
    return RetryDecision::FromBudget;
}

}
