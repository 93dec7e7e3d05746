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
Exit withdrawVersion(const ToolOptions&, const Arguments& version);
Exit rolloutStart(const ToolOptions&, const Arguments& modelFromToShare);
Exit rolloutAdvance(const ToolOptions&, const Arguments& modelShare);
Exit rolloutHold(const ToolOptions&, const Arguments& model);
Exit rolloutBack(const ToolOptions&, const Arguments& model);

}
