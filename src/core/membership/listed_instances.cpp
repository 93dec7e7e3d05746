#include "core/membership/listed_instances.h"

#include <utility>

namespace skylarkhitch {

void ListedInstances::set(const std::string& key, std::optional<ListedPeer> peer)
{
    auto known = m_entries.find(key);
    if (!peer) {
        if (known == m_entries.end())
            return;
        m_entries.erase(known);
    } else if (known == m_entries.end())
        m_entries.emplace(key, *std::move(peer));
    else if (known->second == *peer)
        return;
    else
        known->second = *std::move(peer);
    m_isChanged = true;
}

bool ListedInstances::takeChanged() { return std::exchange(m_isChanged, false); }

std::map<std::string, DomainId> ListedInstances::peers() const
{
    std::map<std::string, DomainId> peers;
    for (const auto& [key, it] : m_entries)
        peers[it.address] = it.domain;
    return peers;
}

}
