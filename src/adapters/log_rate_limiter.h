#pragma once

// Limits the number of log lines of each kind per second, so that a flood of one kind does not hide other lines and the
// cost of logging is bounded. Suppressed lines are counted. Each kind has its own windows; a window starts with the first
// line after the previous window has ended.

#include "core/ids.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhitch {

class LogRateLimiter {
public:
    // Maximum number of lines of one kind per window. The design load is 49 requests per second and instance; up to five
    // times that load, a line that is logged once per request is never suppressed.
    static constexpr std::int64_t maxLinesPerWindow = 250;
    static constexpr Seconds window { 1 };

    // Counts a line of the given kind and returns whether it may be written.
    bool admits(std::string_view kind, TimePoint now);

    struct Suppressed {
        std::string kind;
        std::int64_t lines = 0;

        friend bool operator==(const Suppressed&, const Suppressed&) = default;
    };
    // Returns and resets the number of suppressed lines of each kind whose window has ended.
    std::vector<Suppressed> takeSuppressed(TimePoint now);

private:
    struct Count {
        TimePoint startedAt {};
        std::int64_t admitted = 0;
        std::int64_t suppressed = 0;
    };
    std::map<std::string, Count, std::less<>> m_counts;
    // Whether any kind has suppressed lines that were not yet returned.
    bool m_hasSuppressed = false;
};

}
