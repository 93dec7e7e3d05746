#pragma once

// Structured log lines (Boost.Log). A line is one event with its fields; it is written by a thread of its own from a
// bounded queue, so that whoever logs never waits. Lines that find the queue full are counted, and the count is logged.

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkhitch {

enum class LogLevel { Debug,
    Info,
    Warning,
    Error };

enum class LogTarget { StandardError,
    StandardOutput };

// Sets up the sink; lines below the named level are dropped. Throws CallerError for an unknown name.
void startLog(const std::string& level, const std::string& instance, LogTarget target = LogTarget::StandardError);
// Changes the least level that is written.
void setLogLevel(const std::string& level);
// Writes what is queued; nothing may be logged after it.
void stopLog();
// Lines that were dropped because the queue was full.
std::uint64_t droppedLogLines();

// One line; it is written when the object ends.
class LogLine {
public:
    LogLine(LogLevel, std::string_view what);
    ~LogLine();
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;

    LogLine& with(std::string_view name, std::string_view value);
    LogLine& with(std::string_view name, std::int64_t value);

private:
    LogLevel m_level;
    std::string m_text;
};

void logChange(LogLevel, std::string_view what, std::string_view subject, std::string_view detail);

}
