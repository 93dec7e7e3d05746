#pragma once

// One entry instance: connects the core to its adapters and runs until it is told to stop.

#include "config/node_settings.h"

namespace skylarkhitch {

// Assigns a free port to every address with port 0.
void assignFreePorts(NodeSettings&);

// Runs an instance until SIGTERM, SIGINT or an operator's request has drained it. A second signal, or a drain longer than
// drain_limit_ms, ends it at once. Returns the exit status of the process: 0 if the drain completed, otherwise 1.
int runDaemon(const NodeSettings&);

}
