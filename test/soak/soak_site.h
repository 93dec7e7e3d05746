#pragma once

// The system under test in a soak run: entry instances as processes, stand-ins for the platform's store and the upstreams, a
// fault-injecting proxy in front of each upstream and for each instance in front of the store, and callers that send requests
// continuously.

#include "fakes/fault_proxy.h"
#include "fakes/fleet_standin.h"
#include "processes/edge_instance.h"
#include "soak/soak_records.h"

#include <random>

namespace skylarkhitch::soak {

class SoakSite {
public:
    explicit SoakSite(std::uint64_t seed);
    ~SoakSite();

    static constexpr std::size_t instanceCount = 3;
    static constexpr std::size_t callerCount = 4;

    struct Upstream {
        std::string service;
        std::unique_ptr<standin::ScriptedUpstream> server;
        std::unique_ptr<standin::FaultProxy> proxy;
        std::int64_t incarnation = 1;
    };

    // Registers an upstream in the store; a new incarnation has a higher `born`.
    void registerUpstream(Upstream&, const std::string& state = "ready");
    // Stores a new version of the configuration that accepts the API key.
    void putConfiguration(const std::string& key);
    void startCallers();
    void stopCallers();
    // Sends one request, checks the response and records the outcome.
    Outcome sendRequest(RequestType, std::unique_ptr<standin::RawConnection>&, std::size_t instance, std::mt19937_64&);
    // Clears all faults, registers every upstream as a new incarnation, and resumes paused instances.
    void clearFaults();

    SoakRecords records;
    standin::FleetStore store;
    std::vector<std::unique_ptr<standin::FaultProxy>> storeProxies;
    std::vector<Upstream> upstreams;
    std::vector<std::unique_ptr<EdgeInstance>> instances;

private:
    void addUpstream(const std::string& id, const std::string& service, standin::ScriptedUpstream::Script);
    standin::ScriptedUpstream::Script makeScript(const std::string& id, bool isEngine);
    bool sendPlainResponse(const standin::RawRequest&, standin::RawConnection&, double draw);
    bool sendStreamResponse(const standin::RawRequest&, standin::RawConnection&, double draw);
    void runCaller(std::uint64_t seed);

    std::uint64_t m_seed;
    std::atomic<std::uint64_t> m_lastId = 0;
    std::atomic<std::int64_t> m_version = 1;
    std::string m_key;
    std::mutex m_keyMutex;
    std::mutex m_randomMutex;
    std::mt19937_64 m_random;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_callers;
};

}
