#pragma once

// A TCP proxy on loopback that delays, buffers or resets the connections through it. Buffered data is delivered when the
// fault is cleared, as TCP does after a network partition.

#include "fakes/loopback_listener.h"

#include <string>

namespace skylarkhitch::standin {

enum class LinkFault { None,
    // Delivers all data linkDelay late.
    Delay,
    // Resets open and new connections.
    Reset,
    // Buffers data from the client to the server.
    CutToServer,
    // Buffers data from the server to the client.
    CutFromServer,
    // Buffers data in both directions.
    Silent };

constexpr std::chrono::milliseconds linkDelay { 250 };

class FaultProxy {
public:
    explicit FaultProxy(int targetPort);

    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.port()); }
    void setFault(LinkFault fault) { m_fault = fault; }
    // Sets the server for new connections; open connections keep theirs.
    void setTarget(int port) { m_target = port; }

private:
    void forward(int client);

    std::atomic<int> m_target;
    std::atomic<LinkFault> m_fault = LinkFault::None;
    LoopbackListener m_listener;
};

}
