#pragma once

// Which versions a team may use, and which one a new session or request starts on. The choice is a pure function of
// its key and the configuration, so that instances agree without talking.

#include "core/configuration/configuration.h"

#include <functional>
#include <optional>

namespace skylarkhitch {

bool mayUse(const Team&, const Version&);
bool mayUseModel(const Configuration&, const Team&, const ModelId&);

// Whether a version can serve now, as far as upstreams and evidence tell.
using VersionPredicate = std::function<bool(const VersionId&)>;

// The version for a key: the roll-out's stage first, then the model's current version, then the best other one that the
// team may use. Nothing if none may be used.
std::optional<VersionId> chooseVersion(const Configuration&, const Team&, const ModelId&, const std::string& key, const VersionPredicate& usable);

}
