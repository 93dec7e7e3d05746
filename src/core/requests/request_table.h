#pragma once

// The requests that this instance has taken and not yet answered, found by their id, by an attempt or by a ledger
// ticket. The one place that gives final answers: whole, as a stream's end, or as a refusal from the error table.

#include "core/ledger/ledger.h"
#include "core/requests/ran_verdict.h"
#include "ports/metrics_sink.h"

#include <absl/container/flat_hash_set.h>

namespace skylarkhitch {

class RequestFlow;

// What a request waits for.
enum class Phase {
    // The record of its session's version.
    Pinning,
    // The record of its claim.
    Claiming,
    // Another instance's or an earlier request's outcome of the same call.
    AwaitingOutcome,
    // A place on an upstream.
    Queued,
    Running,
    // The rating of its answer.
    Rating,
    // The record of its bill or outcome.
    Recording,
};

struct RequestState {
    CallerRequest request;
    RequestFlow* flow = nullptr;
    Phase phase = Phase::Queued;
    TeamId team;
    RankId rank;
    std::int64_t rankOrder = 0;
    TimePoint arrivedAt;
    TimePoint deadline;
    std::optional<TimePoint> startedAt;
    std::optional<TimePoint> firstTokenAt;
    std::optional<TimePoint> lastTokenAt;
    RanVerdict ran;
    bool callerLeft = false;

    // The attempt in flight, if any, and those before it.
    std::optional<AttemptId> attempt;
    TimePoint attemptAt;
    UpstreamId upstream;
    VersionId version;
    int attempts = 0;
    absl::flat_hash_set<UpstreamId> tried;

    // Chat: the cascade's steps, or the one model.
    std::vector<ModelId> steps;
    std::size_t step = 0;
    double qualityTarget = 0;
    bool check = false;
    bool streamStarted = false;
    std::int64_t tokensGiven = 0;
    // Pieces of a streamed answer that is checked before it is given.
    std::vector<std::string> heldPieces;
    // The last event of a stream, held until the bill is kept.
    std::string lastPiece;

    // Service: whether the call may be repeated, and when to look for another's outcome again.
    bool mayRepeat = true;
    bool claimed = false;
    TimePoint claimSince;
    std::optional<TimePoint> lookAgainAt;

    Bill bill;
    AttemptFinished result;
    std::optional<AppendTicket> ticket;

    bool streamed() const { return request.kind == CallKind::Chat && request.streamed; }
};

class RequestTable {
public:
    explicit RequestTable(MetricsSink& metrics)
        : m_metrics(metrics)
    {
    }

    // Takes a request in. The caller's interface gives each request an id of its own.
    RequestState& add(CallerRequest, TimePoint);
    RequestState* find(const RequestId&);
    RequestState* findByAttempt(AttemptId);
    RequestState* findByTicket(AppendTicket);

    AttemptId startAttempt(RequestState&);
    void endAttempt(RequestState&);
    void awaitRecord(RequestState&, AppendTicket);

    // Each of these gives the final answer and forgets the request.
    void answer(RequestState&, AnswerHead, std::string body, TimePoint, Outbox&);
    void endStream(RequestState&, TimePoint, Outbox&);
    void refuse(RequestState&, ErrorKind, const std::string& message, TimePoint, Outbox&);
    void dropSilently(RequestState&);

    // Makes every refusal say that the request was not run, to show that a check catches it.
    void mutateForTest(bool falseNotRun) { m_falseNotRun = falseNotRun; }

    std::size_t size() const { return m_requests.size(); }
    std::vector<RequestId> ids() const;

private:
    void forget(RequestState&, ErrorKind, TimePoint);

    MetricsSink& m_metrics;
    absl::flat_hash_map<RequestId, std::unique_ptr<RequestState>> m_requests;
    absl::flat_hash_map<AttemptId, RequestState*> m_attempts;
    absl::flat_hash_map<AppendTicket, RequestState*> m_tickets;
    std::uint64_t m_lastAttempt = 0;
    bool m_falseNotRun = false;
};

// The error object that callers get, as JSON text.
std::string errorBody(ErrorKind, const std::string& message, Ran, const RequestId&);

std::string_view ranName(Ran);

}
