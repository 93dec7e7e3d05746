#pragma once

// The one client of the platform's store: keeps a copy of its keys by a watch, and makes single calls.

#include "core/membership/store_mirror.h"
#include "edge/edge_metrics.h"
#include "edge/upstream_connection.h"
#include "platform/store_codec.h"

namespace skylarkhitch {

struct StoreAnswer {
    // HTTP status; 0 if none came, so that the call may have taken effect or may yet do so.
    int status = 0;
    std::string body;

    bool isOk() const { return status == 200; }
};

class StoreLink {
public:
    StoreLink(EventLoop&, std::string address, EdgeMetrics&);

    // A single call.
    Awaitable<StoreAnswer> call(platform::StoreRequest, const char* name);
    // The changes after a revision, waiting for the first of them; nothing if the store no longer knows them.
    struct WatchResult {
        int status = 0;
        std::optional<MirrorUpdate> update;
    };
    Awaitable<WatchResult> watch(std::int64_t after);
    // Every key of the store. A read that the store breaks off goes on at the same page the next time.
    Awaitable<WatchResult> readAll();

    // Whether the store took the last call that ended.
    bool isReached() const { return m_isReached; }
    // When it last did.
    TimePoint answeredAt() const { return m_answeredAt; }

private:
    // How a call is made.
    struct CallOptions {
        // Where its connection is kept between calls.
        std::shared_ptr<UpstreamConnection>* kept = nullptr;
        Milliseconds timeout { 0 };
        // In the metrics.
        const char* name = "";
        // The store answers once something changes; such a call is ended when the store comes or goes.
        bool waitsForChange = false;
    };
    Awaitable<StoreAnswer> exchange(platform::StoreRequest, CallOptions);
    // What was read of the store so far.
    struct PartialRead {
        MirrorUpdate update { 0, true, {} };
        // The last key of it.
        std::string after;
        TimePoint begunAt {};
    };
    void noteAnswer(int status);
    // Ends a watch that waits, so that it is asked anew.
    void restartWatch();

    EventLoop& m_loop;
    std::string m_address;
    EdgeMetrics& m_metrics;
    std::shared_ptr<UpstreamConnection> m_watchConnection;
    std::shared_ptr<UpstreamConnection> m_callConnection;
    std::optional<PartialRead> m_partialRead;
    // The connection of a watch that waits for its answer.
    std::weak_ptr<UpstreamConnection> m_waitingWatch;
    // The watch was ended here, which says nothing about the store.
    bool m_watchEnded = false;
    TimePoint m_answeredAt {};
    bool m_isReached = false;
};

}
