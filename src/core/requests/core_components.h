#pragma once

// References to the components of the core that the request flows use; the Router owns them.

#include "core/configuration/config_manager.h"
#include "core/ledger/ledger.h"
#include "core/limits/admission.h"
#include "core/limits/crash_guard.h"
#include "core/limits/retry_budget.h"
#include "core/requests/request_table.h"
#include "core/rollout/version_evidence.h"
#include "core/routing/cascade_plan.h"
#include "core/routing/upstream_table.h"

namespace skylarkhitch {

// Faults that mutation tests inject to verify that the checks detect them. Never set by the daemon.
struct Mutations {
    // Sends non-idempotent calls without a claim.
    bool skipClaim = false;
    // Appends each bill under two keys.
    bool billTwice = false;
    // Does not pin sessions to versions.
    bool dropPin = false;
    // Adopts a configuration even if its revision is lower than the current one.
    bool takeLowerRevision = false;
    // Reports in every error response that the request was not executed.
    bool falseNotRun = false;
    // Drains without a grace period and without waiting for requests in flight.
    bool closeOnDrain = false;
    // Keeps using withdrawn versions.
    bool ignoreWithdrawal = false;
    // Ends an interrupted stream as if it were complete.
    bool cleanEndAfterCut = false;
    // Retries non-idempotent calls that may have been executed.
    bool retryNonIdempotent = false;
    // Ends a chat response before its bill is recorded.
    bool releaseBeforeBill = false;
};

struct CoreComponents {
    Membership& membership;
    ConfigManager& configManager;
    Ledger& ledger;
    RequestTable& requests;
    Admission& admission;
    UpstreamTable& upstreams;
    VersionEvidence& evidence;
    PassEstimates& passEstimates;
    CrashGuard& crashGuard;
    RetryBudget& retryBudget;
    MetricsSink& metrics;
    CascadePolicy cascadePolicy = CascadePolicy::LeastExpectedCost;
    Mutations mutations;

    // The active configuration; there must be one.
    const Configuration& configuration() const { return *configManager.current(); }
};

}
