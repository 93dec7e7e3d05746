#include "core/routing/upstream_registry.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch {

std::string processName(const UpstreamEntry& entry) { return absl::StrCat(entry.id.value, "/", entry.born); }

void EndedIncarnations::end(const UpstreamEntry& entry)
{
    auto& born = m_lastEnded.try_emplace(entry.id, entry.born).first->second;
    born = std::max(born, entry.born);
}

bool EndedIncarnations::contains(const UpstreamEntry& entry) const
{
    auto it = m_lastEnded.find(entry.id);
    return it != m_lastEnded.end() && entry.born <= it->second;
}

bool UpstreamRegistry::registered(const UpstreamEntry& entry)
{
    auto& state = m_upstreams[entry.id];
    bool same = state.entry == entry && !state.removeAt;
    state.entry = entry;
    state.removeAt.reset();
    return !same;
}

void UpstreamRegistry::removed(const UpstreamId& id, bool mayHaveExpired, TimePoint now)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return;
    if (!mayHaveExpired || !it->second.entry.takesWork) {
        m_upstreams.erase(it);
        return;
    }
    it->second.removeAt = now + reregistrationTime;
}

void UpstreamRegistry::storeUnavailable(TimePoint now)
{
    for (auto& [id, state] : m_upstreams) {
        if (state.removeAt)
            state.removeAt = now + reregistrationTime;
    }
}

bool UpstreamRegistry::removeExpired(TimePoint now)
{
    return std::erase_if(m_upstreams, [&](const auto& it) { return it.second.removeAt && *it.second.removeAt <= now; }) > 0;
}

std::vector<UpstreamEntry> UpstreamRegistry::usable() const
{
    std::vector<UpstreamEntry> entries;
    for (const auto& [id, state] : m_upstreams) {
        if (state.entry.takesWork)
            entries.push_back(state.entry);
    }
    return entries;
}

const UpstreamEntry* UpstreamRegistry::find(const UpstreamId& id) const
{
    auto it = m_upstreams.find(id);
    return it == m_upstreams.end() ? nullptr : &it->second.entry;
}

}
