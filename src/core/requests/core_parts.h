#pragma once

// The parts of the core that the request flows work with, owned by the Router.

#include "core/configuration/config_keeper.h"
#include "core/ledger/ledger.h"
#include "core/limits/admission.h"
#include "core/limits/crash_guard.h"
#include "core/limits/retry_budget.h"
#include "core/requests/request_table.h"
#include "core/rollout/version_evidence.h"
#include "core/routing/cascade_plan.h"
#include "core/routing/upstream_table.h"

namespace skylarkhitch {

// Faults that tests switch on to show that a check catches them. The daemon never sets one.
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

struct CoreParts {
    Membership& membership;
    ConfigKeeper& keeper;
    Ledger& ledger;
    RequestTable& requests;
    Admission& admission;
    UpstreamTable& upstreams;
    VersionEvidence& evidence;
    PassEstimates& passes;
    CrashGuard& crashes;
    RetryBudget& retries;
    MetricsSink& metrics;
    CascadePolicy cascadePolicy = CascadePolicy::LeastExpectedCost;
    Mutations mutations;

    const Configuration& configuration() const { return *keeper.current(); }
};

}
