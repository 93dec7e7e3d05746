#include "core/rollout/rollout_stage.h"

#include <algorithm>
#include <iterator>

namespace skylarkhitch {

namespace {

    constexpr const char* stageNames[] = { "canary", "half", "full", "completed", "reverted" };

}

const char* stageName(RolloutStage stage)
{
    return stageNames[static_cast<int>(stage)];
}

std::optional<RolloutStage> parseStageName(std::string_view name)
{
    const auto* it = std::find(std::begin(stageNames), std::end(stageNames), name);
    return it == std::end(stageNames) ? std::nullopt : std::optional(static_cast<RolloutStage>(it - std::begin(stageNames)));
}

}
