#pragma once

// Structured log lines (Boost.Log) on standard error, one for each change of state.

#include <string>
#include <string_view>

namespace skylarkhitch {

enum class LogLevel { Debug,
    Info,
    Warning,
    Error };

// Sets up the sink; lines below the named level are dropped. Throws CallerError for an unknown name.
void startLog(const std::string& level, const std::string& instance);

void logChange(LogLevel, std::string_view what, std::string_view subject, std::string_view detail);

}
