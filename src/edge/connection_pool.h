#pragma once

// A pool of idle connections to upstreams. A connection is kept for well under the idle timeout of its upstream, so that a
// request is not sent on a connection that the upstream is closing.

#include "core/routing/upstream_registry.h"
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

    // Returns a new connection that is not open yet.
    std::shared_ptr<UpstreamConnection> create();
    // Removes and returns a reusable connection to the same process of the upstream, or returns null if there is none.
    std::shared_ptr<UpstreamConnection> acquire(const UpstreamEntry&, TimePoint now);
    // Keeps a connection for later requests if it is reusable, else closes it. The upstream's idle timeout is empty if the
    // upstream does not state one.
    void recycle(const UpstreamEntry&, std::shared_ptr<UpstreamConnection>, std::optional<Seconds> upstreamIdleTimeout, TimePoint now);
    // Closes connections that were idle for too long, that the upstream closed, or on which it sent bytes without a request.
    void closeExpired(TimePoint now);
    // Closes all connections, also those in use, whose requests then end as after a lost connection.
    void closeAll();
    // Lets the deadlines of all connections expire now, so that only what has arrived is still read.
    void expireAll();

private:
    struct IdleConnection {
        std::shared_ptr<UpstreamConnection> connection;
        TimePoint expiresAt;
    };
    static std::string poolKey(const UpstreamEntry& entry) { return entry.address + "/" + entry.id.value + "/" + std::to_string(entry.born); }

    EventLoop& m_loop;
    // All connections, idle and in use.
    std::vector<std::weak_ptr<UpstreamConnection>> m_connections;
    absl::flat_hash_map<std::string, std::deque<IdleConnection>> m_idle;
};

}
