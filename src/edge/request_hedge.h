#pragma once

// Watches the current attempt of a request for silence, and asks another upstream to take over while the current attempt goes on.

#include "edge/upstream_attempt.h"

namespace skylarkhitch {

class RequestHedge {
public:
    explicit RequestHedge(RequestContext&);

    // Keeps the request alive while a hedge runs.
    void setOwner(std::weak_ptr<void> owner) { m_owner = std::move(owner); }

    // The attempt whose response the caller gets; null before the first one.
    const std::shared_ptr<UpstreamAttempt>& current() const { return m_current; }
    void setCurrent(std::shared_ptr<UpstreamAttempt>);
    // The timer of the current attempt's silence.
    DeadlineTimer& silence() { return m_silence; }
    // Starts the silence of the current attempt anew.
    void restartSilence(const UpstreamAttempt&);
    // The current attempt has received an event of a stream, which ends a silence.
    void eventReceived(const UpstreamAttempt&);

    // A hedge is open until it has failed, or is taken, or is dropped.
    bool isOpen() const { return m_hedge != nullptr; }
    // Opens a hedge. Returns false if there is no upstream to ask. One that begins to respond ends the current attempt.
    bool start(const std::optional<ModelId>&);
    // Waits until the hedge has begun to respond or there is none.
    Awaitable<void> awaitResponse();
    // Returns the hedge, which becomes the current attempt.
    std::shared_ptr<UpstreamAttempt> take() { return std::exchange(m_hedge, nullptr); }
    // Ends the hedge, since the current attempt serves the request.
    void drop();
    // Closes the connections of both attempts, since the caller has left.
    void closeConnections();

private:
    // Called when the upstream of the current attempt has been silent for silenceLimit().
    void onSilence();
    // Asks another upstream to take over, after this end of the last one. If none may be asked, the current attempt goes on.
    void hedgeOrWait(AttemptEnd, const std::optional<ModelId>&);
    // Whether the current attempt is to be given up, since its upstream is silent and this instance has lost its links to all of them.
    bool mustLeaveUpstream();
    Awaitable<void> run(std::shared_ptr<void> owner, std::shared_ptr<UpstreamAttempt>);
    // Whether the response that the attempt has begun can serve the request.
    bool canTakeOver(const UpstreamAttempt&) const;

    RequestContext& m_request;
    std::weak_ptr<void> m_owner;
    std::shared_ptr<UpstreamAttempt> m_current;
    // The attempt that may take over from it.
    std::shared_ptr<UpstreamAttempt> m_hedge;
    // Cancelled when the hedge begins to respond or ends.
    asio::steady_timer m_hedgeChanged;
    DeadlineTimer m_silence;
    // The silence is looked at again, since bytes had arrived that were not read yet.
    bool m_isSilenceDeferred = false;
};

}
