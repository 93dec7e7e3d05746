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

UpstreamRegistry::Change UpstreamRegistry::registered(const UpstreamEntry& entry, const EntryVersion& version, TimePoint now)
{
    if (entry.takesWork && m_departures.isOutdated(entry.id, version)) {
        holdBack(entry.id);
        return Change::HeldBack;
    }
    m_heldBack.erase(entry.id);
    if (entry.takesWork)
        m_departures.erase(entry.id);
    else
        m_departures.record({ entry.id, version, true }, now);
    auto& state = m_upstreams[entry.id];
    auto known = state.entry;
    bool isColdSame = known.coldUntil != TimePoint {} && entry.coldUntil != TimePoint {} && known.coldUntil < entry.coldUntil + coldTolerance && entry.coldUntil < known.coldUntil + coldTolerance;
    if (isColdSame)
        known.coldUntil = entry.coldUntil;
    bool isSame = known == entry && !state.isMissing;
    state = { entry, version, false };
    return isSame ? Change::None : Change::Updated;
}

bool UpstreamRegistry::renewed(const UpstreamId& id, std::int64_t writes, std::int64_t revision, TimePoint now)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end() || m_heldBack.contains(id) || it->second.isMissing)
        return false;
    it->second.version.writes = writes;
    it->second.version.revision = revision;
    if (!it->second.entry.takesWork)
        m_departures.record({ id, it->second.version, true }, now);
    return true;
}

void UpstreamRegistry::holdBack(const UpstreamId& id)
{
    m_heldBack.insert(id);
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return;
    // A draining upstream stays known until its entry is removed.
    it->second.entry.takesWork = false;
    if (!m_departures.find(id)->isDraining)
        m_upstreams.erase(it);
}

std::vector<UpstreamDeparture> UpstreamRegistry::heldBack() const
{
    std::vector<UpstreamDeparture> departures;
    for (const auto& it : m_heldBack) {
        if (const auto* departure = m_departures.find(it))
            departures.push_back(*departure);
    }
    return departures;
}

bool UpstreamRegistry::learn(const UpstreamDeparture& departure, TimePoint now)
{
    auto it = m_upstreams.find(departure.id);
    bool isReady = it != m_upstreams.end() && it->second.entry.takesWork;
    if (!m_departures.learn(departure, now) || !isReady || !m_departures.isOutdated(departure.id, it->second.version))
        return false;
    holdBack(departure.id);
    return true;
}

void UpstreamRegistry::removed(const UpstreamId& id, TimePoint missingMeansGoneFrom, TimePoint now)
{
    m_heldBack.erase(id);
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return;
    if (now >= missingMeansGoneFrom || !it->second.entry.takesWork) {
        m_departures.record({ id, it->second.version, !it->second.entry.takesWork }, now);
        m_upstreams.erase(it);
        return;
    }
    it->second.isMissing = true;
}

bool UpstreamRegistry::removeExpired(TimePoint missingMeansGoneFrom, TimePoint now)
{
    m_departures.forget(now);
    return now >= missingMeansGoneFrom && std::erase_if(m_upstreams, [](const auto& it) { return it.second.isMissing; }) > 0;
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
