#include "edge/connection_pool.h"

namespace skylarkhitch {

namespace {

    // Fraction of the upstream's stated idle timeout for which a connection is kept.
    constexpr double keptPart = 0.5;
    // Idle time where the upstream states no timeout.
    constexpr Milliseconds keptByDefault { 400 };
    // Idle connections that are kept for each upstream process.
    constexpr std::size_t mostIdle = 16;

}

std::shared_ptr<UpstreamConnection> ConnectionPool::take(const UpstreamEntry& entry, TimePoint now)
{
    auto it = m_idle.find(keyOf(entry));
    if (it == m_idle.end())
        return nullptr;
    while (!it->second.empty()) {
        auto idle = std::move(it->second.back());
        it->second.pop_back();
        if (idle.until > now && idle.connection->isReusable())
            return idle.connection;
        idle.connection->close();
    }
    return nullptr;
}

void ConnectionPool::giveBack(const UpstreamEntry& entry, std::shared_ptr<UpstreamConnection> connection, std::optional<Seconds> upstreamKeepsIdle, TimePoint now)
{
    connection->clearDeadline();
    auto& idle = m_idle[keyOf(entry)];
    if (!connection->isReusable() || idle.size() >= mostIdle) {
        connection->close();
        return;
    }
    auto kept = upstreamKeepsIdle ? Milliseconds(static_cast<std::int64_t>(1000.0 * keptPart * static_cast<double>(upstreamKeepsIdle->count()))) : keptByDefault;
    idle.push_back({ std::move(connection), now + kept });
}

void ConnectionPool::sweep(TimePoint now)
{
    for (auto& [key, idle] : m_idle) {
        while (!idle.empty() && idle.front().until <= now) {
            idle.front().connection->close();
            idle.pop_front();
        }
    }
    absl::erase_if(m_idle, [](const auto& it) { return it.second.empty(); });
}

}
