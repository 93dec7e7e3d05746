#pragma once

// Structured logging (Boost.Log). A line is one event with its fields. A separate thread writes lines from a bounded
// queue, so that callers never wait for output. The number of lines per second is limited for each kind, that is, for each
// event name and level. Lines over the limit (suppressed) are counted and their number is logged. Lines dropped because the
// queue is full are only counted.

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

// Whether the text is the name of a level.
bool isLogLevel(const std::string&);
// Starts logging; lines below the named level are discarded. Throws UsageError for an unknown level name. From then on an exception
// that nothing handles is written to standard error, as the line "uncaught_exception", before it ends the process.
void startLog(const std::string& level, const std::string& instance, LogTarget target = LogTarget::StandardError);
// Changes the minimum level that is written. Throws UsageError for an unknown level name.
void setLogLevel(const std::string& level);
// Writes the queued lines and stops logging. Nothing may be logged afterwards.
void stopLog();
// Totals since the start of the process.
struct LogTotals {
    // Lines passed to the queue, including those dropped there.
    std::uint64_t lines = 0;
    // Size of the lines without time, level and instance.
    std::uint64_t bytes = 0;
    // Lines over the limit of their kind.
    std::uint64_t suppressed = 0;
    // Lines dropped because the queue was full.
    std::uint64_t dropped = 0;
};
LogTotals logTotals();

// One log line; the destructor queues it for writing.
class LogLine {
public:
    // The event name is written as the field "what".
    LogLine(LogLevel, std::string_view what);
    ~LogLine();
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;

    // Appends a field. A text is cut after 512 bytes, and fields that begin after 4,096 bytes of a line are left out.
    LogLine& with(std::string_view name, std::string_view value);
    LogLine& with(std::string_view name, std::int64_t value);

private:
    LogLevel m_level;
    // False for a line below the minimum level or over the limit of its kind; its fields are ignored and it is not written.
    bool m_isAdmitted;
    std::string m_text;
};

// Logs an event with the fields "subject" and "detail".
void logChange(LogLevel, std::string_view what, std::string_view subject, std::string_view detail);

}
