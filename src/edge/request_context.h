#pragma once

// State of one request that the steps of its way share, see RequestForwarder.

#include "core/limits/retry_reservation.h"
#include "core/requests/admit_request.h"
#include "core/requests/event_stream_parser.h"
#include "core/requests/execution_tracker.h"
#include "edge/caller_connection.h"
#include "edge/traffic_state.h"

namespace skylarkhitch {

struct RequestContext {
    RequestContext(TrafficState&, std::shared_ptr<CallerConnection>, ReceivedRequest);

    TrafficState& traffic;
    std::shared_ptr<CallerConnection> caller;
    ReceivedRequest received;
    // The view that the request was checked against.
    FleetViewPtr view;
    AdmittedRequest admitted;
    // The parts of the prompt that other requests may share.
    std::vector<std::string> parts;
    // The request was let through to find out whether a part of its prompt still crashes upstreams.
    bool isProbe = false;
    ExecutionTracker execution;
    EventStreamParser events;
    // The model to ask, where the router chooses it.
    std::optional<ModelId> model;
    std::vector<UpstreamId> triedUpstreams;
    // What the upstream that was chosen last is expected to hold of the prompt, if the service has a prompt memory.
    std::optional<PromptRead> chosenPrompt;
    // Models with which the prompt memory has recorded the request.
    std::vector<ModelId> recordedModels;
    // Peers by way of which the request was sent.
    std::set<InstanceId> triedPeers;
    // Attempts that reached an upstream, whether it ran the request or not.
    std::int64_t deliveredAttempts = 0;
    // Attempts in which the request ran or may have run, including those that are under way once they are sent.
    std::int64_t possibleRuns = 0;
    // The retry that the next attempt may use.
    RetryReservation retry;
    // Attempts that were turned away as misdirected, unless the address turned out to be another upstream's.
    std::int64_t misdirections = 0;
    // The upstreams among them that did not say who they are, until another one accepts the request.
    std::vector<UpstreamEntry> misdirectedBy;
    // Set if there are upstreams for the request, but the limits that they state leave no room for it: the time until one has.
    std::optional<Milliseconds> limitedFor;
    // Set if there are upstreams for the request, but all of them want nothing for now: the time until the first one does.
    std::optional<Milliseconds> pausedFor;
    // The caller got a whole answer.
    bool isAnswered = false;

    // The id by which log lines name the request.
    const std::string& id() const { return admitted.request.id.value; }
    // Empty before the request is admitted.
    std::string serviceName() const { return admitted.service ? admitted.service->name.value : std::string(); }
    // Until the request's deadline; at least 0.
    Milliseconds timeLeft() const;
    // How long the caller may be made to wait before it is served or comes back.
    Milliseconds allowedWait() const;
    // Memory that the request needs on an engine; nothing on other upstreams.
    MemoryCommitment commitment() const;
    // Whether the request may be sent now, see TrafficState.
    bool fitsBeforeExit(TimePoint now) const;
};

}
