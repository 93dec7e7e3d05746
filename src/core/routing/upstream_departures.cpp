#include "core/routing/upstream_departures.h"

#include "core/bounded_document.h"
#include "core/membership/store_revision.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch {

using Json = nlohmann::json;

Json toJson(const std::vector<UpstreamDeparture>& departures)
{
    Json rows = Json::array();
    for (const auto& it : departures)
        rows.push_back(Json::array({ it.id.value, it.last.born, it.last.writes, it.last.revision, it.isDraining }));
    return rows;
}

std::vector<UpstreamDeparture> upstreamDeparturesFrom(const Json& rows)
{
    std::vector<UpstreamDeparture> departures;
    for (const auto& it : rows)
        departures.push_back({ { it.at(0) }, { countFrom(it.at(1)), countFrom(it.at(2)), clampedIntegerFrom(it.at(3), { 0, maxRevision }) }, it.at(4) });
    return departures;
}

void UpstreamDepartures::record(const UpstreamDeparture& departure, TimePoint now)
{
    m_departures[departure.id] = { departure, now };
}

bool UpstreamDepartures::learn(const UpstreamDeparture& departure, TimePoint now)
{
    const auto* known = find(departure.id);
    bool isKnown = known && (known->last.born > departure.last.born || (known->last.born == departure.last.born && (known->isDraining || !departure.isDraining)));
    if (!isKnown)
        record(departure, now);
    return !isKnown;
}

bool UpstreamDepartures::isOutdated(const UpstreamId& id, const EntryVersion& entry) const
{
    const auto* departure = find(id);
    if (!departure || eraOf(entry.revision) <= eraOf(departure->last.revision) || entry.born > departure->last.born)
        return false;
    if (entry.born < departure->last.born || departure->isDraining)
        return true;
    // Without the number of writes, an entry that was written again may look like the one in the copy.
    return entry.writes > 0 && entry.writes <= departure->last.writes && storeRevision(entry.revision) <= storeRevision(departure->last.revision);
}

const UpstreamDeparture* UpstreamDepartures::find(const UpstreamId& id) const
{
    auto it = m_departures.find(id);
    return it == m_departures.end() ? nullptr : &it->second.departure;
}

void UpstreamDepartures::forget(TimePoint now)
{
    std::erase_if(m_departures, [&](const auto& it) { return now - it.second.at > retention; });
}

}
