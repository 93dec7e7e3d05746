#include "edge/link_checker.h"

namespace skylarkhitch {

namespace {

    // An upstream accepts a connection within a few milliseconds, also from another failure domain.
    constexpr Milliseconds checkTimeout { 200 };

}

void LinkChecker::checkIfDue()
{
    if (!m_traffic.view())
        return;
    for (auto& it : m_traffic.beginLinkChecks(bootNow()))
        spawn(m_loop, check(std::move(it)), "check_link");
}

Awaitable<void> LinkChecker::check(UpstreamEntry upstream)
{
    auto connection = std::make_shared<UpstreamConnection>(m_loop);
    bool isReached = co_await connection->open(upstream.address, checkTimeout);
    connection->close();
    m_traffic.recordLinkCheck(isReached);
}

}
