#pragma once

// Handles calls to plain services. A non-idempotent call with an idempotency key is claimed in the ledger before it is
// sent; its outcome and its charge form one record, which is written before the response is sent.

#include "core/requests/dispatcher.h"

namespace skylarkhitch {

class ServiceFlow final : public RequestFlow {
public:
    ServiceFlow(CoreComponents& core, Dispatcher& dispatcher)
        : m_core(core)
        , m_dispatcher(dispatcher)
    {
    }

    void accepted(RequestState&, TimePoint, Outbox&) override;
    std::optional<UpstreamRequirements> beforeAttempt(RequestState&, TimePoint, Outbox&) override;
    void fillAttempt(const RequestState&, SendAttempt&) const override;
    void chunkReceived(RequestState&, AttemptChunk, TimePoint, Outbox&) override { }
    void attemptEnded(RequestState&, AttemptFinished, TimePoint, Outbox&) override;
    void recorded(RequestState&, const AppendResult&, TimePoint, Outbox&) override;
    void rated(RequestState&, const RatingReceived&, TimePoint, Outbox&) override { }
    void callerDisconnected(RequestState&, TimePoint, Outbox&) override;
    void rejectWaiting(RequestState&, ErrorKind, const std::string& message, TimePoint, Outbox&) override;
    void deadlineExpired(RequestState&, TimePoint, Outbox&) override;
    void checkOutcome(RequestState&, TimePoint, Outbox&) override;

private:
    bool needsClaim(const RequestState&) const;
    // Ledger key of the call: by its idempotency key if it needs a claim, by the request id otherwise.
    std::string callKey(const RequestState&) const;
    void claim(RequestState&, TimePoint, Outbox&);
    void claimRecorded(RequestState&, const AppendResult&, TimePoint, Outbox&);
    void handleExistingEntry(RequestState&, const LedgerRecord& existing, TimePoint, Outbox&);
    // Answers with the recorded outcome of an earlier call.
    void replay(RequestState&, const Outcome&, TimePoint, Outbox&);
    // Whether the request that holds the claim may still be running.
    bool ownerMayStillFinish(const Claim&) const;
    void queue(RequestState&, TimePoint, Outbox&);
    void completed(RequestState&, TimePoint, Outbox&);
    void failed(RequestState&, TimePoint, Outbox&);
    void sendOutcome(RequestState&, TimePoint, Outbox&);
    void recordUnknownOutcome(const RequestState&, TimePoint, Outbox&);
    void releaseClaim(const RequestState&, TimePoint, Outbox&);

    CoreComponents& m_core;
    Dispatcher& m_dispatcher;
};

}
