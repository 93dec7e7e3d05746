#pragma once

// The instances in the platform's list, by their keys in the store. Each entry is read once, when it changes: in a large site that
// starts, reading all of them with each new one costs more than everything else.

#include "core/ids.h"

#include <map>
#include <optional>
#include <string>

namespace skylarkhitch {

// A peer in the platform's list of instances.
struct ListedPeer {
    std::string address;
    DomainId domain;

    friend bool operator==(const ListedPeer&, const ListedPeer&) = default;
};

class ListedInstances {
public:
    // Replaces the entry of a key, or removes it.
    void set(const std::string& key, std::optional<ListedPeer>);
    // Returns and resets whether an entry has changed.
    bool takeChanged();
    // The domains of the listed addresses.
    std::map<std::string, DomainId> peers() const;

private:
    std::map<std::string, ListedPeer> m_entries;
    bool m_isChanged = false;
};

}
