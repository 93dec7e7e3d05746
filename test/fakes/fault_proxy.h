#pragma once

// A TCP proxy on loopback that delays, holds back or resets what passes through it. Bytes that are held back arrive once
// the fault is over, as after a partition.

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <thread>

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
    ~FaultProxy();

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    void setFault(LinkFault fault) { m_fault = fault; }
    // New connections go to another server.
    void setTarget(int port) { m_target = port; }
    int target() const { return m_target; }

private:
    struct Link {
        std::shared_ptr<std::atomic<bool>> hasEnded;
        std::thread thread;
    };
    void accept();
    void carry(int client);

    std::atomic<int> m_target;
    std::atomic<LinkFault> m_fault = LinkFault::None;
    std::atomic<bool> m_stopping = false;
    int m_listener = -1;
    int m_port = 0;
    std::list<Link> m_links;
    std::thread m_thread;
};

}
