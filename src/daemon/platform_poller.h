#pragma once

// Periodically requests the instance list from the platform and the load from each upstream, and posts both to the core. Also
// passes the listed peer addresses to the PeerTransport.

#include "adapters/http_client.h"
#include "adapters/peer_transport.h"
#include "daemon/control_loop.h"

#include <atomic>
#include <condition_variable>

namespace skylarkhitch {

struct PollerSettings {
    // The platform's address; empty for a standalone instance, which requests no list.
    std::string listAddress;
    Milliseconds listPeriod;
    Milliseconds loadPeriod;
};

class PlatformPoller {
public:
    // Starts polling on a thread of its own, which the destructor ends. There is no PeerTransport for a standalone instance.
    PlatformPoller(PollerSettings, HttpClient&, ControlLoop&, PeerTransport*);
    ~PlatformPoller();

private:
    void run();
    void requestInstanceList();
    void onInstanceList(const HttpResult&);
    void requestLoads();

    PollerSettings m_settings;
    HttpClient& m_client;
    ControlLoop& m_control;
    PeerTransport* m_peers;
    std::mutex m_mutex;
    std::condition_variable m_stopRequested;
    bool m_stopping = false;
    std::thread m_thread;
};

}
