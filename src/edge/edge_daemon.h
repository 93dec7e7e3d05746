#pragma once

// Runs an entry instance on a platform that declares routes: one thread for control state, one for traffic.

#include "config/edge_settings.h"

namespace skylarkhitch {

// Reads the settings again when they may have changed; nothing if they are not valid, which is logged.
using SettingsReader = std::function<std::optional<EdgeSettings>()>;

// Returns the exit status once the instance was stopped by a signal.
int runEdge(const EdgeSettings&, const SettingsReader&);

}
