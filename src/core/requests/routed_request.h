#pragma once

// A caller's request on a declared route, decoded from its wire format.

#include "core/ids.h"
#include "core/requests/header_field.h"

#include <memory>
#include <optional>

namespace skylarkhitch {

// A part of a prompt that may be shared with other requests; parts with equal ids have equal text.
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;
};

struct RoutedRequest {
    RequestId id;
    std::string method;
    // Path and query, byte for byte as received.
    std::string target;
    // Host name without the port, in lower case.
    std::string host;
    // API key; empty if not sent.
    std::string key;
    // Empty if the request belongs to no session.
    std::string session;
    // Time for which the caller waits, counted from the arrival of the request; empty if not specified.
    std::optional<Milliseconds> callerTimeout;
    // Number of the last stream event that the caller already received.
    std::optional<std::int64_t> lastEvent;
    // Another instance sent the request on behalf of its caller.
    bool isRelayed = false;
    // The caller leaves the choice among the route's models to the router.
    bool anyModel = false;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    // The caller's estimate of the output tokens.
    std::optional<std::int64_t> outputHint;
    // An estimate is stated that cannot be read.
    bool isOutputHintMalformed = false;
    // In prompt order; the last part is specific to the request or its session.
    std::vector<PromptPart> promptParts;
    // Header fields that are forwarded to the upstream unchanged.
    HeaderFields forwardedHeaders;
    std::shared_ptr<const std::string> body;
};

// Number of the prompt's parts that other requests may share: all but the last.
inline std::size_t sharedPartCount(const RoutedRequest& request)
{
    return request.promptParts.empty() ? 0 : request.promptParts.size() - 1;
}

// Returns the target's path, without the query.
inline std::string_view pathOf(const RoutedRequest& request)
{
    return std::string_view(request.target).substr(0, request.target.find('?'));
}

}
