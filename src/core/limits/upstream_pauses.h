#pragma once

// Processes of upstreams that turned requests away and said for how long they want no others. An instance sends such a process
// nothing until then, whether or not another upstream is left. It is no failure of the upstream.
//
// The latest end that a process named counts: a later answer with a shorter time does not take back what an earlier one asked for.

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <string>

namespace skylarkhitch {

class UpstreamPauses {
public:
    // Longer times are taken for this one.
    static constexpr Milliseconds maxTime { 86400000 };
    // Instances return later than asked, each at another moment, by at most this part (1/n) of the time, and by at most
    // maxSpread, so that they do not return together.
    static constexpr int spreadDivisor = 4;
    static constexpr Milliseconds maxSpread { 1000 };

    explicit UpstreamPauses(InstanceId self)
        : m_self(std::move(self))
    {
    }

    // The process wants nothing for this time. Returns false if it has asked for as much before.
    bool record(const std::string& process, Milliseconds time, TimePoint now);
    bool isPaused(const std::string& process, TimePoint now) const { return timeLeft(process, now) > Milliseconds(0); }
    // Time until the process may get a request from this instance; zero if it may now.
    Milliseconds timeLeft(const std::string& process, TimePoint now) const;
    void forget(TimePoint now);
    bool empty() const { return m_ends.empty(); }
    std::size_t size() const { return m_ends.size(); }

private:
    struct Pause {
        // The end that the process named.
        TimePoint askedUntil;
        TimePoint end;
    };
    InstanceId m_self;
    absl::flat_hash_map<std::string, Pause> m_ends;
};

}
