#pragma once

// The life of one request at this instance: checked, sent to an upstream, sent again where that is safe, its answer
// passed on byte for byte, and one line logged about how it ended.

#include "core/requests/admit_request.h"
#include "core/requests/event_stream.h"
#include "core/requests/ran_verdict.h"
#include "core/requests/upstream_answer.h"
#include "core/routing/model_choice.h"
#include "edge/caller_connection.h"
#include "edge/traffic.h"

namespace skylarkhitch {

class RequestRun : public std::enable_shared_from_this<RequestRun> {
public:
    RequestRun(Traffic&, std::shared_ptr<CallerConnection>, ReceivedRequest);

    Awaitable<void> run();

private:
    // How one send ended, and whether the request's answer is final with it.
    struct SendResult {
        AttemptEnd end = AttemptEnd::NotSent;
        bool isFinal = false;
        // The next send is taken from the budget already.
        bool repeatTaken = false;
    };

    ErrorKind admit();
    Awaitable<void> serve();
    const UpstreamEntry* chooseUpstream(TimePoint now);
    Awaitable<SendResult> sendTo(UpstreamEntry);
    Awaitable<SendResult> converse(const UpstreamEntry&, std::shared_ptr<UpstreamConnection>);
    Awaitable<SendResult> passWhole(const UpstreamEntry&, std::shared_ptr<UpstreamConnection>, UpstreamAnswer);
    Awaitable<SendResult> passStream(const UpstreamEntry&, std::shared_ptr<UpstreamConnection>, UpstreamAnswer);
    bool turnsToLargerModel(const UpstreamEntry&, const UpstreamAnswer&);
    double weightOfModel() const;
    ReleaseRoute releaseRoute(const UpstreamEntry&) const;
    std::string requestHead(const UpstreamEntry&) const;
    bool mayRepeat(const SendResult&, TimePoint now);
    // Failure that follows from a send that was not final.
    ErrorKind errorAfter(const SendResult&) const;
    Awaitable<void> refuse(ErrorKind);
    void upstreamFailed(const UpstreamEntry&, AttemptEnd);
    void upstreamWorked(const UpstreamEntry&);
    void firstByteSent(TimePoint now);
    void logEnd(std::string_view error, int status) const;
    // Empty before the request is admitted.
    std::string serviceName() const { return m_admitted.service ? m_admitted.service->name.value : std::string(); }
    Milliseconds timeLeft() const;
    Milliseconds patienceFor(bool mayTryAnother) const;

    Traffic& m_traffic;
    std::shared_ptr<CallerConnection> m_caller;
    ReceivedRequest m_received;
    // The view that the request was admitted by.
    FleetViewPtr m_view;
    AdmittedRequest m_admitted;
    RanVerdict m_verdict;
    EventStream m_events;
    std::shared_ptr<UpstreamConnection> m_upstream;
    std::vector<UpstreamId> m_tried;
    // Sends that reached an upstream, whether it ran them or not.
    std::int64_t m_arrivals = 0;
    // Sends that run, or may have run; the present one counts.
    std::int64_t m_runs = 0;
    std::optional<ModelId> m_model;
    // What the present send adds to its upstream's load, in prompt tokens of the dearest model.
    std::int64_t m_work = 0;
    // What the upstream had before it.
    std::int64_t m_workAhead = 0;
    bool m_promptRead = false;
    // An upstream's own failure, given to the caller if no other send brings anything better.
    std::optional<AnswerToCaller> m_failureInHand;
    TimePoint m_sentAt {};
    // When the answer's first part went to the caller.
    std::optional<TimePoint> m_firstByteAt;
};

}
