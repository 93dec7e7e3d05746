#pragma once

// Versions that sessions keep, as far as this instance has seen them in the ledger. Only a cache: the ledger decides.

#include "core/ledger/ledger_record.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace skylarkhitch {

class SessionPins {
public:
    const SessionPin* find(const std::string& key) const;
    // Keeps a pin unless a higher generation is known.
    void learn(const std::string& key, const SessionPin&);

private:
    // Pins kept before the oldest are dropped; about 150 bytes each.
    static constexpr std::size_t mostPins = 100000;
    absl::flat_hash_map<std::string, SessionPin> m_pins;
    std::deque<std::string> m_order;
};

}
