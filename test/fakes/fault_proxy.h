#pragma once

// A TCP proxy on loopback that delays, holds back or resets what passes through it. Bytes that are held back arrive once
// the fault is over, as after a partition.

#include "fakes/loopback_listener.h"

#include <string>

namespace skylarkhitch::standin {

enum class LinkFault { None,
    // Every byte comes linkDelay late.
    Delay,
    // Open connections and new ones are reset.
    Reset,
    // Nothing gets to the server, or nothing back, or neither.
    CutToServer,
    CutFromServer,
    Silent };

constexpr std::chrono::milliseconds linkDelay { 250 };

class FaultProxy {
public:
    explicit FaultProxy(int targetPort);

    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.port()); }
    void setFault(LinkFault fault) { m_fault = fault; }
    // New connections go to another server.
    void setTarget(int port) { m_target = port; }

private:
    void carry(int client);

    std::atomic<int> m_target;
    std::atomic<LinkFault> m_fault = LinkFault::None;
    LoopbackListener m_listener;
};

}
