#pragma once

// Decides whether a request may be sent again after an attempt that did not serve it.

#include "core/messages.h"

namespace skylarkhitch {

// With less time than this left, no other upstream could still answer.
constexpr Milliseconds minUsefulTime { 30 };

// A request after one of its attempts.
struct RetryState {
    // Until the request's deadline.
    Milliseconds timeLeft {};
    // An answer is expected before this instance exits.
    bool fitsBeforeExit = true;
    // Upstreams that were asked, including those that could not be reached.
    std::size_t triedUpstreams = 0;
    // Attempts that reached an upstream, whether it ran the request or not.
    std::int64_t deliveredAttempts = 0;
    // Attempts in which the request ran or may have run.
    std::int64_t possibleRuns = 0;
    Executed executed = Executed::No;
    // The route allows to send a request again that may have run.
    bool isRetryable = false;
    // Upstreams that the route allows a request to be sent to.
    std::int64_t maxAttempts = 1;
    // A part of the prompt may have crashed upstreams.
    bool isRetryUnsafe = false;
    // The request has crashed upstreams, so it is refused.
    bool isRefused = false;
};

enum class RetryDecision {
    Denied,
    // No attempt has reached an upstream yet, so the next one needs no retry budget.
    Free,
    // The next attempt needs an upstream and a retry from the budget.
    FromBudget,
};

// The decision after this end of the last attempt.
RetryDecision decideOnRetry(AttemptEnd, const RetryState&);

}
