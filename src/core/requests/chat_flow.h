#pragma once

// Handles chat requests: chooses the cascade step, pins the session to a version, queues for an upstream, relays the
// complete or streamed response, records the bill, and only then ends the response. Where that lowers the expected cost,
// a response is rated before it is sent, and discarded for a later step if it fails the quality target. An interrupted
// stream resumes at the exact token on another upstream of the same version, or ends with an explicit error.

#include "core/requests/dispatcher.h"
#include "core/routing/session_pins.h"

#include <random>

namespace skylarkhitch {

class ChatFlow final : public RequestFlow {
public:
    ChatFlow(CoreComponents& core, Dispatcher& dispatcher, std::uint64_t seed)
        : m_core(core)
        , m_dispatcher(dispatcher)
        , m_random(seed)
    {
    }

    void accepted(RequestState&, TimePoint, Outbox&) override;
    std::optional<UpstreamRequirements> beforeAttempt(RequestState&, TimePoint, Outbox&) override;
    void fillAttempt(const RequestState&, SendAttempt&) const override;
    void chunkReceived(RequestState&, AttemptChunk, TimePoint, Outbox&) override;
    void attemptEnded(RequestState&, AttemptFinished, TimePoint, Outbox&) override;
    void recorded(RequestState&, const AppendResult&, TimePoint, Outbox&) override;
    void rated(RequestState&, const RatingReceived&, TimePoint, Outbox&) override;
    void callerDisconnected(RequestState&, TimePoint, Outbox&) override;
    void rejectWaiting(RequestState&, ErrorKind, const std::string& message, TimePoint, Outbox&) override;
    void deadlineExpired(RequestState&, TimePoint, Outbox&) override;

    // Updates the estimates from a rating, including one that arrives after its request was answered.
    void recordRating(const RatingReceived&, TimePoint, Outbox&);

private:
    struct PendingRating {
        TeamId team;
        std::string task;
        VersionId version;
        // Minimum rating for the response to pass.
        double target = 0;
    };

    bool resolveTarget(RequestState&, TimePoint, Outbox&);
    bool versionUsable(const RequestState&, const VersionId&, TimePoint, Outbox&);
    // Chooses a version for each step and estimates its cost and pass probability.
    std::vector<PlanStep> planSteps(RequestState&, TimePoint, Outbox&);
    // Chooses a step, from `first` on, pins the session if necessary and queues the request, or answers with an error.
    void chooseStep(RequestState&, std::size_t first, TimePoint, Outbox&);
    // Ledger key of the pin of a session to a version of the model.
    std::string pinKey(const RequestState&, const ModelId&) const;
    // Key whose hash selects the version: the session, or else the request.
    std::string choiceKey(const RequestState&) const;
    // Appends a pin to the ledger; pinned() continues the request.
    void pinSession(RequestState&, std::uint64_t generation, TimePoint, Outbox&);
    void pinned(RequestState&, const SessionPin&, TimePoint, Outbox&);
    void queue(RequestState&, TimePoint, Outbox&);
    void completed(RequestState&, TimePoint, Outbox&);
    void failed(RequestState&, TimePoint, Outbox&);
    bool mayRetry(RequestState&, TimePoint);
    ErrorKind errorForLastAttempt(const RequestState&, TimePoint) const;
    void startRating(RequestState&, AttemptId, Outbox&);
    void addUsage(RequestState&, const Usage&);
    void recordBill(RequestState&, TimePoint, Outbox&);
    void sendFinalResponse(RequestState&, TimePoint, Outbox&);
    void sendBufferedChunks(RequestState&, TimePoint, Outbox&);
    void sendChunk(RequestState&, std::string payload, Outbox&);
    CallerResponseHead responseHead(const RequestState&) const;

    CoreComponents& m_core;
    Dispatcher& m_dispatcher;
    std::mt19937_64 m_random;
    SessionPins m_pins;
    absl::flat_hash_map<AttemptId, PendingRating> m_pendingRatings;
};

}
