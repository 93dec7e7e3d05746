#pragma once

// A site for tests of entry instances (a store with a configuration and scripted upstreams), and the requests that callers
// send to it.

#include "fakes/fleet_standin.h"
#include "processes/edge_instance.h"

namespace skylarkhitch {

// Returns the bytes of a request with the sample configuration's API key. `timeout` is the caller's time limit.
std::string requestBytes(const std::string& method, const std::string& target, const std::string& id, const std::string& extraHeaders = {}, const std::string& body = {}, std::chrono::milliseconds timeout = std::chrono::milliseconds(2500));

// Sends a request over a new connection and returns the response.
std::string sendRequest(const EdgeInstance&, const std::string& bytes);

// Returns the bytes of one part of a chunked body.
std::string chunk(const std::string& bytes);

// A store with a configuration, two upstreams of a service without models and two engines.
struct Site {
    standin::FleetStore store;
    standin::ScriptedUpstream first;
    standin::ScriptedUpstream second;
    standin::ScriptedUpstream engine;
    standin::ScriptedUpstream otherEngine;

    explicit Site(const standin::CallerTimes& times = {});
    // Ends pending watches, so that the destruction of the store need not wait for them.
    ~Site() { store.cutWatches(); }

    // Number of requests that the upstreams without models received.
    std::size_t received() { return first.count() + second.count(); }
    // Requests that the upstreams without models received.
    std::vector<standin::RawRequest> allRequests();
    // Number of times that an upstream or engine received the request with this id.
    std::size_t receivedWithId(const std::string& id);
    void setScripts(const standin::ScriptedUpstream::Script&);
    void setEngineScripts(const standin::ScriptedUpstream::Script&);
};

}
