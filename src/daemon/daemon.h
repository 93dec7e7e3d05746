#pragma once

// An entry instance with NodeSettings: connects the core to its adapters and runs until it is told to stop. On platforms that
// declare routes, edge/edge_daemon.h runs the instance instead.

#include "config/node_settings.h"

namespace skylarkhitch {

// Assigns a free port to every listening address with port 0. An entry address with port 0 becomes the callers' listening
// address.
void assignFreePorts(NodeSettings&);

// Runs an instance until SIGTERM, SIGINT or an operator's request has drained it. SIGINT during a drain that a signal began ends it
// early, and so does a drain that takes longer than drain_limit_ms. A drain that an operator requested has no limit until a signal
// arrives. A further SIGTERM changes nothing, and SIGHUP never does: an instance does not read its settings again. Returns the
// exit status of the process: 0 if the drain completed, otherwise 1.
int runDaemon(const NodeSettings&);

}
