#pragma once

// Commands for the configuration: check, show, diff, apply, history, reference, and edits of one part of it.

#include "tool/admin_client.h"
#include "tool/commands.h"

namespace skylarkhitch {

using Words = std::vector<std::string>;

Exit configCheck(const ToolOptions&, const Words& files);
Exit configReference(const ToolOptions&, const Words&);
Exit configShow(const ToolOptions&, const Words&);
Exit configDiff(const ToolOptions&, const Words& files);
Exit configApply(const ToolOptions&, const Words& files);
Exit configHistory(const ToolOptions&, const Words&);
Exit withdrawVersion(const ToolOptions&, const Words& version);
Exit rolloutStart(const ToolOptions&, const Words& modelFromToShare);
Exit rolloutAdvance(const ToolOptions&, const Words& modelShare);
Exit rolloutHold(const ToolOptions&, const Words& model);
Exit rolloutBack(const ToolOptions&, const Words& model);

}
