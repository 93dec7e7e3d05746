#include "edge/connection_pool.h"

namespace skylarkhitch {

namespace {

    // Fraction of the upstream's stated idle timeout for which a connection is kept.
    constexpr double idleTimeoutFraction = 0.5;
    // Idle time where the upstream states no timeout.
    constexpr Milliseconds defaultIdleTime { 400 };
    // Idle connections that are kept for each upstream process.
    constexpr std::size_t maxIdleConnections = 16;

}

std::shared_ptr<UpstreamConnection> ConnectionPool::create()
{
    auto connection = std::make_shared<UpstreamConnection>(m_loop);
    m_connections.push_back(connection);
    return connection;
}

std::shared_ptr<UpstreamConnection> ConnectionPool::acquire(const UpstreamEntry& entry, TimePoint now)
{
    auto it = m_idle.find(poolKey(entry));
    if (it == m_idle.end())
        return nullptr;
    while (!it->second.empty()) {
        auto idle = std::move(it->second.back());
        it->second.pop_back();
        if (idle.expiresAt > now && idle.connection->isReusable())
            return idle.connection;
        idle.connection->close();
    }
    return nullptr;
}

void ConnectionPool::recycle(const UpstreamEntry& entry, std::shared_ptr<UpstreamConnection> connection, std::optional<Seconds> upstreamIdleTimeout, TimePoint now)
{
    connection->clearDeadline();
    auto& idle = m_idle[poolKey(entry)];
    if (!connection->isReusable() || idle.size() >= maxIdleConnections) {
        connection->close();
        return;
    }
    auto idleTimeout = upstreamIdleTimeout ? Milliseconds(static_cast<std::int64_t>(1000.0 * idleTimeoutFraction * static_cast<double>(upstreamIdleTimeout->count()))) : defaultIdleTime;
    idle.push_back({ std::move(connection), now + idleTimeout });
}

void ConnectionPool::closeExpired(TimePoint now)
{
    for (auto& [key, idle] : m_idle) {
        std::erase_if(idle, [&](const IdleConnection& it) {
            if (it.expiresAt > now && it.connection->isReusable())
                return false;
            it.connection->close();
            return true;
        });
    }
    absl::erase_if(m_idle, [](const auto& it) { return it.second.empty(); });
    std::erase_if(m_connections, [](const auto& it) { return it.expired(); });
}

void ConnectionPool::expireAll()
{
    for (const auto& it : m_connections) {
        if (auto connection = it.lock())
            connection->expire();
    }
}

void ConnectionPool::closeAll()
{
    for (const auto& it : m_connections) {
        if (auto connection = it.lock())
            connection->close();
    }
}

}
