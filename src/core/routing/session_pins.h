#pragma once

// Cache of the versions that sessions are pinned to, as seen in the ledger. The ledger is authoritative.

#include "core/ledger/ledger_record.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace skylarkhitch {

class SessionPins {
public:
    // The cached pin, or null.
    const SessionPin* find(const std::string& key) const;
    // Stores the pin unless one with the same or a higher generation is cached.
    void learn(const std::string& key, const SessionPin&);

private:
    // Maximum number of cached pins, about 150 bytes each; the first to be inserted is evicted first.
    static constexpr std::size_t maxPins = 100000;
    absl::flat_hash_map<std::string, SessionPin> m_pins;
    std::deque<std::string> m_insertionOrder;
};

}
