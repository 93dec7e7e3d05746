#pragma once

// The parts of the core that the request flows work with, owned by the Router.

#include "core/admission.h"
#include "core/cascade_plan.h"
#include "core/config_keeper.h"
#include "core/crash_guard.h"
#include "core/ledger.h"
#include "core/request_table.h"
#include "core/retry_budget.h"
#include "core/upstream_table.h"
#include "core/version_evidence.h"

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
