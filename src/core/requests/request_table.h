#pragma once

// Requests in progress on this instance, indexed by id, by attempt and by ledger ticket. All final responses are sent
// here: a complete response, the end of a stream, or an error from the error table.

#include "core/ledger/ledger.h"
#include "core/requests/execution_tracker.h"
#include "ports/metrics_sink.h"

#include <absl/container/flat_hash_set.h>

namespace skylarkhitch {

class RequestFlow;

// What a request is waiting for.
enum class Phase {
    // The ledger record that pins its session to a version.
    Pinning,
    // The ledger record of its claim.
    Claiming,
    // The outcome of an earlier request with the same idempotency key, on this or another instance.
    AwaitingOutcome,
    // A slot on an upstream.
    Queued,
    // The end of its attempt.
    Running,
    // The rating of its response.
    Rating,
    // The ledger record of its bill or outcome.
    Recording,
};

struct RequestState {
    CallerRequest request;
    RequestFlow* flow = nullptr;
    Phase phase = Phase::Queued;
    TeamId team;
    RankId rank;
    // 0 is the most urgent.
    std::int64_t rankOrder = 0;
    TimePoint arrivedAt;
    TimePoint deadline;
    // When the first attempt was sent.
    std::optional<TimePoint> startedAt;
    std::optional<TimePoint> firstTokenAt;
    std::optional<TimePoint> lastTokenAt;
    ExecutionTracker execution;
    bool callerDisconnected = false;

    // The attempt in flight, if any. The start time, upstream and version remain those of the last attempt after it ends.
    std::optional<AttemptId> attempt;
    TimePoint attemptStartedAt;
    UpstreamId upstream;
    VersionId version;
    // Number of attempts and the upstreams that they used; for chat, since a rating last advanced the cascade.
    int attempts = 0;
    absl::flat_hash_set<UpstreamId> tried;

    // Chat: the steps of the cascade, or a single model.
    std::vector<ModelId> steps;
    std::size_t step = 0;
    // Minimum rating, from 0 to 1, for a response to be accepted.
    double qualityTarget = 0;
    // Whether the response is rated before it is sent to the caller.
    bool check = false;
    bool streamStarted = false;
    // Tokens already sent to the caller.
    std::int64_t tokensSent = 0;
    // Chunks of a streamed response that is rated before it is sent to the caller.
    std::vector<std::string> bufferedChunks;
    // The last event of a stream, sent once the bill is recorded.
    std::string finalChunk;

    // Service: whether the call may be executed more than once, whether it is claimed, when the claim was last requested,
    // and when to check again for the outcome of an earlier request.
    bool isRetryable = true;
    bool claimed = false;
    TimePoint claimStartedAt;
    std::optional<TimePoint> nextOutcomeCheck;

    Bill bill;
    // End of the last attempt.
    AttemptFinished result;
    // The ledger append that the request awaits.
    std::optional<AppendTicket> ticket;

    bool streamed() const { return request.kind == CallKind::Chat && request.streamed; }
};

class RequestTable {
public:
    explicit RequestTable(MetricsSink& metrics)
        : m_metrics(metrics)
    {
    }

    // Adds a request. The caller API assigns each request a unique id.
    RequestState& add(CallerRequest, TimePoint);
    RequestState* find(const RequestId&);
    RequestState* findByAttempt(AttemptId);
    RequestState* findByTicket(AppendTicket);

    AttemptId startAttempt(RequestState&);
    // Later events of the attempt are no longer assigned to the request.
    void endAttempt(RequestState&);
    // Assigns the result of a ledger append to the request, in place of any append awaited before.
    void awaitRecord(RequestState&, AppendTicket);

    // Each of these removes the request. All but discard() send the final response, unless the caller has disconnected.
    void sendResponse(RequestState&, CallerResponseHead, std::string body, TimePoint, Outbox&);
    void endStream(RequestState&, TimePoint, Outbox&);
    void sendError(RequestState&, ErrorKind, const std::string& message, TimePoint, Outbox&);
    void discard(RequestState&);

    // Makes every error response report that the request was not executed, to verify that a check detects it.
    void mutateForTest(bool falseNotRun) { m_falseNotRun = falseNotRun; }

    std::size_t size() const { return m_requests.size(); }
    std::vector<RequestId> ids() const;

private:
    void finish(RequestState&, ErrorKind, TimePoint);

    MetricsSink& m_metrics;
    absl::flat_hash_map<RequestId, std::unique_ptr<RequestState>> m_requests;
    absl::flat_hash_map<AttemptId, RequestState*> m_attempts;
    absl::flat_hash_map<AppendTicket, RequestState*> m_tickets;
    std::uint64_t m_lastAttempt = 0;
    bool m_falseNotRun = false;
};

// The JSON body of an error response.
std::string errorBody(ErrorKind, const std::string& message, Executed, const RequestId&);

// "yes", "no" or "unknown", as reported to callers.
std::string_view executedName(Executed);

}
