#pragma once

// Explains step by step how a chat request would be routed now, without sending it.

#include "core/requests/core_components.h"

namespace skylarkhitch {

struct ExplainQuery {
    TeamId team;
    // Name of a model or cascade.
    std::string target;
    // Empty for a request without a session.
    SessionId session;
    std::int64_t maxTokens = 256;
};

// Returns lines of text in the order of the router's decisions.
std::vector<std::string> explainRequest(const CoreComponents&, const ExplainQuery&, TimePoint);

}
