#pragma once

// Handles calls to plain services. A non-idempotent call with an idempotency key is claimed in the ledger before it is
// sent; its outcome and its charge form one record, which is written before the response is sent.

#include "core/requests/dispatcher.h"

namespace skylarkhitch {

class ServiceFlow final : public RequestFlow {
public:
    ServiceFlow(CoreParts& parts, Dispatcher& dispatcher)
        : m_parts(parts)
        , m_dispatcher(dispatcher)
    {
    }

    void accepted(RequestState&, TimePoint, Outbox&) override;
    std::optional<UpstreamNeed> beforeAttempt(RequestState&, TimePoint, Outbox&) override;
    void fillAttempt(const RequestState&, SendAttempt&) const override;
    void pieceArrived(RequestState&, AttemptPiece, TimePoint, Outbox&) override { }
    void attemptEnded(RequestState&, AttemptFinished, TimePoint, Outbox&) override;
    void recorded(RequestState&, const AppendResult&, TimePoint, Outbox&) override;
    void rated(RequestState&, const RatingArrived&, TimePoint, Outbox&) override { }
    void callerLeft(RequestState&, TimePoint, Outbox&) override;
    void giveUp(RequestState&, ErrorKind, const std::string& message, TimePoint, Outbox&) override;
    void expired(RequestState&, TimePoint, Outbox&) override;
    void lookAgain(RequestState&, TimePoint, Outbox&) override;

private:
    bool needsClaim(const RequestState&) const;
    std::string callKey(const RequestState&) const;
    void claim(RequestState&, TimePoint, Outbox&);
    void claimAnswered(RequestState&, const AppendResult&, TimePoint, Outbox&);
    void foundEarlierCall(RequestState&, const LedgerRecord& existing, TimePoint, Outbox&);
    void replay(RequestState&, const Outcome&, TimePoint, Outbox&);
    bool ownerMayStillAnswer(const Claim&) const;
    void queue(RequestState&, TimePoint, Outbox&);
    void completed(RequestState&, TimePoint, Outbox&);
    void failed(RequestState&, TimePoint, Outbox&);
    void giveAnswer(RequestState&, TimePoint, Outbox&);
    void recordUnknownOutcome(const RequestState&, TimePoint, Outbox&);
    void releaseClaim(const RequestState&, TimePoint, Outbox&);

    CoreParts& m_parts;
    Dispatcher& m_dispatcher;
};

}
