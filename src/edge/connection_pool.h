#pragma once

// Idle connections to upstreams. One is kept well below the time that its upstream keeps it, so that a request never
// meets a connection that closes.

#include "core/routing/upstream_roster.h"
#include "edge/upstream_connection.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace skylarkhitch {

class ConnectionPool {
public:
    explicit ConnectionPool(EventLoop& loop)
        : m_loop(loop)
    {
    }

    std::shared_ptr<UpstreamConnection> make() { return std::make_shared<UpstreamConnection>(m_loop); }
    // An idle connection to this life of an upstream, or null.
    std::shared_ptr<UpstreamConnection> take(const UpstreamEntry&, TimePoint now);
    // Keeps a connection for the next request if it is fit for that.
    void giveBack(const UpstreamEntry&, std::shared_ptr<UpstreamConnection>, std::optional<Seconds> upstreamKeepsIdle, TimePoint now);
    // Closes those that were idle for too long.
    void sweep(TimePoint now);

private:
    struct Idle {
        std::shared_ptr<UpstreamConnection> connection;
        TimePoint until;
    };
    static std::string keyOf(const UpstreamEntry& entry) { return entry.address + "/" + entry.id.value + "/" + std::to_string(entry.born); }

    EventLoop& m_loop;
    absl::flat_hash_map<std::string, std::deque<Idle>> m_idle;
};

}
