#pragma once

// Parses the answers of the platform, of upstreams and of the rating service. A field that is missing or of another type has its
// default, so that an odd entry of a list hides no other; values are neither copied nor written, so that their depth does not matter.
// The functions throw nothing but std::bad_alloc.

#include "adapters/http_client.h"
#include "core/messages.h"

#include <optional>

namespace skylarkhitch {

struct InstanceList {
    InstancesListed listed;
    // Peer address of each listed entry instance that has one, as it was listed.
    std::map<InstanceId, std::string> peerAddresses;
};

// Parses the platform's instance list. Entries that are not objects, and entry instances without an id, are left out. Returns nullopt
// if the answer is incomplete or not a list.
std::optional<InstanceList> parseInstanceList(const HttpResult&);

// Parses an upstream's load. An incomplete answer makes the upstream unreachable; counts that cannot be used are zero.
LoadReported parseLoadReport(const UpstreamId&, TimePoint askedAt, const HttpResult&);

// Parses the rating of a response, from 0 to 1. Returns nullopt if there is none.
std::optional<double> parseRating(const HttpResult&);

}
