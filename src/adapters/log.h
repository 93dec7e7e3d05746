#pragma once

// Structured log lines (Boost.Log). A line is one event with its fields; it is written by a thread of its own from a
// bounded queue, so that whoever logs never waits. Each kind of line has a bound for each second. Lines beyond it, or that
// find the queue full, are counted, and the counts are logged.

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

// Sets up the sink; lines below the named level are dropped. Throws UsageError for an unknown name.
void startLog(const std::string& level, const std::string& instance, LogTarget target = LogTarget::StandardError);
// Changes the least level that is written.
void setLogLevel(const std::string& level);
// Writes what is queued; nothing may be logged after it.
void stopLog();
// What was logged since the start.
struct LogTotals {
    std::uint64_t lines = 0;
    // Of the lines' own text.
    std::uint64_t bytes = 0;
    // Lines beyond the bound of their kind.
    std::uint64_t suppressed = 0;
    // Lines that found the queue full.
    std::uint64_t dropped = 0;
};
LogTotals logTotals();

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
    // A line below the least level or beyond its kind's bound takes no fields and is not written.
    bool m_isAdmitted;
    std::string m_text;
};

void logChange(LogLevel, std::string_view what, std::string_view subject, std::string_view detail);

}
