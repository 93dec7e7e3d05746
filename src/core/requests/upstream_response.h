#pragma once

// Status and metadata of an upstream's response, decoded from its wire format.

#include "core/ids.h"
#include "core/requests/execution_tracker.h"
#include "core/requests/header_field.h"

#include <optional>

namespace skylarkhitch {

// Load as reported by the upstream: the numbers of running and waiting requests and of its slots, and how long work takes on its
// machine now, in percent of the usual time, if it says so. Already outdated on arrival.
struct ReportedLoad {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
    std::optional<std::int64_t> pace;
};

struct UpstreamResponse {
    int status = 0;
    // HTTP reason phrase.
    std::string reason;
    // Id of the request that the response belongs to; empty if not reported.
    RequestId answeredRequest;
    // The upstream guarantees that it did not start executing the request. The status alone guarantees nothing.
    bool notRun = false;
    // It has fields that upstreams set, so an instance that passes it on did not make it.
    bool isFromUpstream = false;
    // Whoever answered is not the upstream that the request names, or does not have what it asks for, and did not execute it.
    bool isMisdirected = false;
    // Who answered; empty if not reported.
    std::optional<UpstreamId> answeringUpstream;
    bool isEventStream = false;
    // How long the upstream keeps an idle connection open; empty if not reported.
    std::optional<Seconds> keepAliveTimeout;
    std::optional<ReportedLoad> load;
    // A load is stated that cannot be read.
    bool isLoadMalformed = false;
    // Requests per second that the upstream takes from all instances together; empty if it states no limit.
    std::optional<double> requestLimit;
    // A limit is stated that is not a number of at least 0.
    bool isRequestLimitMalformed = false;
    // Rejections per second, of all instances together, beyond which the upstream crashes; empty if it says nothing of the kind.
    std::optional<double> admissibleRejections;
    // How long the upstream stays cold; 0 if it does not say.
    Milliseconds coldFor {};
    // The upstream gets no more work.
    bool isLeaving = false;
    // How long an upstream that turned the request away wants nothing from this instance; empty if it does not say.
    std::optional<Milliseconds> pause;
    // A time is stated that cannot be read.
    bool isPauseMalformed = false;
    // The model's confidence in its response, from 0 to 1.
    std::optional<double> confidence;
    // Header fields that are forwarded to the caller, in their original order.
    HeaderFields forwardedHeaders;

    // Whether the upstream failed the request or turned it away, whether it ran it or not.
    bool isFailure() const { return status >= 500 || impliesNotRun(status); }
    // Whether the response may be passed on to a caller who takes some statuses for a promise: such a status is true of a request that
    // an upstream may have run only if the request may run again.
    bool isTrueForCaller(bool mayRunAgain) const { return mayRunAgain || !impliesNotRun(status); }
};

}
