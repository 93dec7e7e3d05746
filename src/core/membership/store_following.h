#pragma once

// Which instances follow the platform's store, that is, read its changes as they occur: a few standing ones, from which the others
// have the changes. While these lack replies of the store, others take their place in turn, a few more each second. If the store is
// down for all, most instances therefore never ask it: each call is charged for, also one that fails.

#include "core/ids.h"

#include <cstddef>
#include <optional>

namespace skylarkhitch {

class StoreFollowing {
public:
    // Substitutes that begin at once, and with each further period.
    static constexpr std::size_t substitutesPerPeriod = 2;
    static constexpr Milliseconds substitutePeriod { 1000 };

    // The live instances that may follow the store in this one's stead, in the order of their ids.
    struct Peers {
        // Number of standing followers, the first in the order; 0 where hubs are.
        std::size_t followers = 0;
        // Instances before this one, and how many of these reach the store.
        std::size_t preceding = 0;
        std::size_t precedingReaching = 0;
        // Any of the instances had a recent reply of the store.
        bool areReplied = false;
        // This instance is a hub.
        bool isHub = false;
    };

    // Whether this instance follows the store now. To be called a few times a second.
    bool shouldFollow(const Peers&, TimePoint now);
    // Delay before the next call after this many failed ones in a row: doubles up to the maximum, each time by chance between the half
    // and the whole of it. `random` is from 0 to 1.
    static Milliseconds retryDelay(std::size_t failures, double random);

private:
    // Since when substitutes have been needed.
    std::optional<TimePoint> m_neededSince;
};

}
