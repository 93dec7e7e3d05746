#include "core/routing/upstream_doubts.h"

#include <algorithm>

namespace skylarkhitch {

Misdirection misdirectionOf(const UpstreamResponse& response, const UpstreamId& asked)
{
    if (!response.isMisdirected)
        return Misdirection::None;
    if (!response.answeringUpstream)
        return Misdirection::Unknown;
    return *response.answeringUpstream == asked ? Misdirection::Request : Misdirection::Address;
}

bool UpstreamDoubts::record(const std::string& process, TimePoint now)
{
    auto& doubt = m_doubts[process];
    if (now < doubt.until)
        return false;
    auto time = std::clamp(2 * doubt.time, firstTime, maxTime);
    doubt = { now, now + time, time };
    return true;
}

void UpstreamDoubts::accepted(const std::string& process, TimePoint sentAt)
{
    auto it = m_doubts.find(process);
    if (it != m_doubts.end() && it->second.since <= sentAt)
        m_doubts.erase(it);
}

bool UpstreamDoubts::isDoubted(const std::string& process, TimePoint now) const
{
    auto it = m_doubts.find(process);
    return it != m_doubts.end() && now < it->second.until;
}

void UpstreamDoubts::avoid(std::vector<const UpstreamEntry*>& upstreams, const std::vector<UpstreamId>& tried, TimePoint now) const
{
    if (m_doubts.empty())
        return;
    std::vector<const UpstreamEntry*> others;
    std::copy_if(upstreams.begin(), upstreams.end(), std::back_inserter(others), [&](const auto* it) { return !isDoubted(processName(*it), now); });
    auto avoided = upstreams.size() - others.size();
    bool isUntriedLeft = std::any_of(others.begin(), others.end(), [&](const auto* it) { return std::find(tried.begin(), tried.end(), it->id) == tried.end(); });
    if (isUntriedLeft && avoided <= std::max<std::size_t>(1, upstreams.size() / avoidedDivisor))
        upstreams = std::move(others);
}

void UpstreamDoubts::forget(TimePoint now)
{
    // The length of a doubt is kept for as long again, so that the next one can be longer.
    absl::erase_if(m_doubts, [&](const auto& it) { return it.second.until + it.second.time <= now; });
}

}
