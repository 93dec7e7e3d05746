#include "core/limits/upstream_pauses.h"

#include "core/hashing.h"

#include <algorithm>

namespace skylarkhitch {

bool UpstreamPauses::record(const std::string& process, Milliseconds time, TimePoint now)
{
    time = std::clamp(time, Milliseconds(0), maxTime);
    auto& pause = m_ends[process];
    if (now + time <= pause.askedUntil)
        return false;
    auto spread = static_cast<double>(std::min(time / spreadDivisor, maxSpread).count());
    pause = { now + time, now + time + Milliseconds(static_cast<std::int64_t>(spread * unitHash(m_self.value, process))) };
    return true;
}

Milliseconds UpstreamPauses::timeLeft(const std::string& process, TimePoint now) const
{
    auto it = m_ends.find(process);
    return it == m_ends.end() || it->second.end <= now ? Milliseconds(0) : std::max(Milliseconds(1), toMilliseconds(it->second.end - now));
}

void UpstreamPauses::forget(TimePoint now)
{
    absl::erase_if(m_ends, [&](const auto& it) { return it.second.end <= now; });
}

}
