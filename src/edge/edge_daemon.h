#pragma once

// Runs an entry instance on a platform that declares routes, with one thread for control state and one for traffic.

#include "config/edge_settings.h"

namespace skylarkhitch {

// Reads the settings again, since they may have changed. Logs an error and returns nullopt if they are invalid.
using SettingsReader = std::function<std::optional<EdgeSettings>()>;

// Runs until a signal stops the instance. Returns the exit status.
int runEdge(const EdgeSettings&, const SettingsReader&);

}
