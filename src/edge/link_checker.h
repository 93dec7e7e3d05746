#pragma once

// Checks a few upstreams by connections when the link monitor asks for it. Used on the traffic thread only.

#include "edge/traffic_state.h"

namespace skylarkhitch {

class LinkChecker {
public:
    LinkChecker(EventLoop& loop, TrafficState& traffic)
        : m_loop(loop)
        , m_traffic(traffic)
    {
    }

    // Begins a round of checks if one is due. Called several times a second, and when a connection failed.
    void checkIfDue();

private:
    Awaitable<void> check(UpstreamEntry);

    EventLoop& m_loop;
    TrafficState& m_traffic;
};

}
