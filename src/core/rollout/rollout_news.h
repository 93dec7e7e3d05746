#pragma once

// What an instance tells its peers about the rollouts that it knows, and the JSON form of it in heartbeats.

#include "core/ids.h"
#include "core/rollout/rollout_stage.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace skylarkhitch {

struct RolloutNews {
    ServiceId service;
    std::string target;
    // Revision of the order, as in store_revision.h.
    std::int64_t revision = 0;
    RolloutStage stage = RolloutStage::Canary;
    // Wall-clock start time of the rollout.
    TimePoint startedAt {};
};

nlohmann::json toJson(const std::vector<RolloutNews>&);
// Throws std::exception if the value does not have the form of toJson(). Stages with unknown names are left out.
std::vector<RolloutNews> rolloutNewsFrom(const nlohmann::json&);

}
