#pragma once

// Determines which versions a team may use, and the version that a new session or request starts on. The choice depends only
// on the key, the configuration and which versions are usable, so that instances agree without communicating.

#include "core/configuration/configuration.h"

#include <functional>
#include <optional>

namespace skylarkhitch {

// A team may use a version if its configuration lists the version or the model.
bool mayUse(const Team&, const Version&);
// Whether the team may use any version of the model.
bool mayUseModel(const Configuration&, const Team&, const ModelId&);

// Whether a version can serve requests now, given its upstreams and its health.
using VersionPredicate = std::function<bool(const VersionId&)>;

// The version for a key: the one chosen by the model's rollout, else the model's current version, else the version with the
// highest quality among the others. Only versions that are usable, not withdrawn and allowed for the team are considered;
// nullopt if there are none.
std::optional<VersionId> chooseVersion(const Configuration&, const Team&, const ModelId&, const std::string& key, const VersionPredicate& usable);

}
