#pragma once

// Says step by step where a request would land now, and why, without sending it.

#include "core/requests/core_parts.h"

namespace skylarkhitch {

struct ExplainQuestion {
    TeamId team;
    // A model or a cascade.
    std::string target;
    SessionId session;
    std::int64_t maxTokens = 256;
};

// One sentence a step, in the order in which the router decides.
std::vector<std::string> explainRequest(const CoreParts&, const ExplainQuestion&, TimePoint);

}
