#pragma once

// Commands for the configuration: check, show, diff, apply, history, reference, and edits of one part of it.

#include "tool/admin_client.h"
#include "tool/commands.h"

namespace skylarkhitch {

using Arguments = std::vector<std::string>;

Exit configCheck(const ToolOptions&, const Arguments& files);
Exit configReference(const ToolOptions&, const Arguments&);
Exit configShow(const ToolOptions&, const Arguments&);
Exit configDiff(const ToolOptions&, const Arguments& files);
Exit configApply(const ToolOptions&, const Arguments& files);
Exit configHistory(const ToolOptions&, const Arguments&);
// The commands below edit the current configuration; arguments are in the order of the usage text.
Exit withdrawVersion(const ToolOptions&, const Arguments& version);
// Replaces any rollout of the model, which also ends a hold.
Exit rolloutStart(const ToolOptions&, const Arguments& modelFromToShare);
// Sets a new share; fails if the rollout is held.
Exit rolloutAdvance(const ToolOptions&, const Arguments& modelShare);
Exit rolloutHold(const ToolOptions&, const Arguments& model);
// Sets the share to 0, so that new sessions get the old version; the rollout stays in the configuration.
Exit rolloutBack(const ToolOptions&, const Arguments& model);

}
