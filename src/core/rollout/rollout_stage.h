#pragma once

// The stages of a rollout, and their names in logs, in the stored record and between peers.

#include <optional>
#include <string_view>

namespace skylarkhitch {

enum class RolloutStage {
    // A small share of new sessions; active sessions stay on their release.
    Canary,
    // A larger share of all sessions (sessionShareOf), including active ones.
    Half,
    // All sessions; the old release only finishes its running requests.
    Full,
    // All sessions; final.
    Completed,
    // No sessions; final.
    Reverted,
};

const char* stageName(RolloutStage);
std::optional<RolloutStage> parseStageName(std::string_view);

inline bool isFinal(RolloutStage stage) { return stage == RolloutStage::Completed || stage == RolloutStage::Reverted; }

}
