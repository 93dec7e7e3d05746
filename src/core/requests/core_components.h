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
    bool skipClaim = false;
    bool billTwice = false;
    bool dropPin = false;
    bool takeLowerRevision = false;
    bool falseNotRun = false;
    bool closeOnDrain = false;
    bool ignoreWithdrawal = false;
    bool cleanEndAfterCut = false;
    bool retryNonIdempotent = false;
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

    const Configuration& configuration() const { return *configManager.current(); }
};

}
