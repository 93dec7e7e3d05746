#include "adapters/log_rate_limiter.h"

#include <utility>

namespace skylarkhitch {

bool LogRateLimiter::admits(std::string_view kind, TimePoint now)
{
    auto it = m_counts.find(kind);
    auto& count = it == m_counts.end() ? m_counts[std::string(kind)] : it->second;
    if (now - count.startedAt >= window) {
        count.startedAt = now;
        count.admitted = 0;
    }
    if (count.admitted < maxLinesPerWindow) {
        ++count.admitted;
        return true;
    }
    ++count.suppressed;
    m_hasSuppressed = true;
    return false;
}

std::vector<LogRateLimiter::Suppressed> LogRateLimiter::takeSuppressed(TimePoint now)
{
    std::vector<Suppressed> all;
    if (!m_hasSuppressed)
        return all;
    m_hasSuppressed = false;
    for (auto& [kind, count] : m_counts) {
        if (count.suppressed == 0)
            continue;
        if (now - count.startedAt < window) {
            m_hasSuppressed = true;
            continue;
        }
        all.push_back({ kind, std::exchange(count.suppressed, 0) });
    }
    return all;
}

}
