#pragma once

// Bounds how many lines of each kind are logged in a second, so that a flood of one kind hides no other and costs a known
// part of the process's time. What is left out is counted.

#include "core/ids.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhitch {

class LogVolume {
public:
    // Lines of one kind in a second. At the size to design for an instance has 49 requests a second; five times that many
    // still have their line.
    static constexpr std::int64_t mostLines = 250;
    static constexpr Seconds window { 1 };

    // Whether a line of a kind may be written now.
    bool admits(std::string_view kind, TimePoint now);

    struct Suppressed {
        std::string kind;
        std::int64_t lines = 0;

        friend bool operator==(const Suppressed&, const Suppressed&) = default;
    };
    // What was left out in windows that are over, once.
    std::vector<Suppressed> takeSuppressed(TimePoint now);

private:
    struct Count {
        TimePoint begunAt {};
        std::int64_t admitted = 0;
        std::int64_t suppressed = 0;
    };
    std::map<std::string, Count, std::less<>> m_counts;
    // Whether any count has suppressed lines.
    bool m_hasSuppressed = false;
};

}
