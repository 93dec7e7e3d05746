#pragma once

// One entry instance: wires the core to its adapters and runs until it is told to stop.

#include "config/node_settings.h"

namespace skylarkhitch {

// Gives every address with port 0 a free port.
void takeFreePorts(NodeSettings&);

// Runs an instance until SIGTERM or SIGINT has drained it. A second signal, or the limit of a drain, ends it at once.
// Returns the exit status of the process.
int runDaemon(const NodeSettings&);

}
