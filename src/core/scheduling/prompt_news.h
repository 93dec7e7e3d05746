#pragma once

// What instances tell each other about prompt prefixes that engines have read. All instances expect a prefix at its first home, so
// only reads elsewhere are told. The news is bounded: what does not fit is left out, beginning with the shortest prefixes.

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace skylarkhitch {

// An engine process has read a prefix.
struct PromptHolding {
    // See PromptPrefix.
    std::uint64_t prefix = 0;
    // Hash of the name of the process, see processName().
    std::uint64_t process = 0;
    // Tokens of the whole prefix.
    std::int64_t tokens = 0;
    // Time since it was read.
    Milliseconds age {};
};

// Packs the rows into a fixed number of bytes each.
nlohmann::json toJson(const std::vector<PromptHolding>&);
// Throws std::exception if the value is not of the type that toJson() makes. Incomplete rows and those beyond the bound are ignored.
std::vector<PromptHolding> promptHoldingsFrom(const nlohmann::json&);

class PromptNews {
public:
    // Bound of the rows of one message, and of the holdings that are remembered.
    static constexpr std::size_t maxSent = 128;
    static constexpr std::size_t maxKnown = 4096;
    // A holding is told for this long, so that it is in more than one heartbeat to each receiver.
    static constexpr Milliseconds tellingTime { 750 };
    // It is told again only after this time.
    static constexpr Milliseconds refreshTime { 5000 };
    // Older holdings are not passed on.
    static constexpr Milliseconds maxAge { 3000 };

    // A request of this instance had the process read the prefix.
    void record(std::uint64_t prefix, std::uint64_t process, std::int64_t tokens, TimePoint now);
    // Takes in what a peer told. Returns false if it was known.
    bool learn(const PromptHolding&, TimePoint now);
    // What to tell, with what others told only if this instance passes it on.
    std::vector<PromptHolding> news(bool passesOn, TimePoint now) const;
    // Drops what is too old to matter.
    void forget(TimePoint now);

private:
    struct Pair {
        std::uint64_t prefix = 0;
        std::uint64_t process = 0;

        friend bool operator==(const Pair&, const Pair&) = default;
        template <typename H>
        friend H AbslHashValue(H state, const Pair& it)
        {
            return H::combine(std::move(state), it.prefix, it.process);
        }
    };
    struct Known {
        std::int64_t tokens = 0;
        TimePoint readAt;
        // Since when it is told.
        TimePoint toldFrom;
        bool isOwn = false;
    };

    void insert(Pair, Known);

    absl::flat_hash_map<Pair, Known> m_known;
};

}
