#pragma once

// Client for the platform's store: reads and watches its keys, and makes single calls.

#include "core/membership/store_mirror.h"
#include "edge/edge_metrics.h"
#include "edge/upstream_connection.h"
#include "platform/store_codec.h"

namespace skylarkhitch {

struct StoreResponse {
    // HTTP status; 0 if there was no complete response, in which case the call may have taken effect or may still do so.
    int status = 0;
    std::string body;
    // The store's era, see store_revision.h; the last known one if the response names none.
    std::int64_t era = 0;
    // There was a head, but its body was not as HTTP wants it, or too long.
    bool isMalformed = false;

    bool isOk() const { return status == 200; }
};

class StoreClient {
public:
    StoreClient(EventLoop&, std::string address, EdgeMetrics&);

    // Makes a single call. The name labels it in the metrics. If there is no response, a probe then checks whether the store is
    // reachable.
    Awaitable<StoreResponse> call(platform::StoreRequest, const char* name);
    // Result of a watch or a read. The update is not set if the call failed, or if the store no longer has the changes after
    // the revision (status 410).
    struct StoreUpdateResult {
        int status = 0;
        std::optional<MirrorUpdate> update;
        // The changes came, but cannot be read or are too many. The same call would get them again.
        bool isUnreadable = false;
    };
    // Waits for the first change after a revision. The update has no changes if none came within the wait time. If the store has
    // begun another era, the result has status 410.
    Awaitable<StoreUpdateResult> watch(std::int64_t after);
    // Reads all keys. After a failure, the next call continues with the page that failed.
    Awaitable<StoreUpdateResult> readAll();

    // Whether the store served the last completed call. Statuses 429 and 503 do not count as served.
    bool isReachable() const { return m_isReachable; }
    // When the store last served a call; TimePoint {} if it never did.
    TimePoint lastResponseAt() const { return m_lastResponseAt; }
    // The latest era that a response named; 0 before the first one.
    std::int64_t era() const { return m_era.value_or(0); }

private:
    struct CallOptions {
        // Holds the connection between calls.
        std::shared_ptr<UpstreamConnection>* cachedConnection = nullptr;
        // Time limit for the head of the response, and for each gap between received bytes of the body.
        Milliseconds timeout { 0 };
        // Limits of the whole body. Responses of about a megabyte take long if many instances read them at the same time.
        Milliseconds maxBodyTime { 0 };
        std::size_t maxBytes = 0;
        // Label in the metrics.
        const char* name = "";
        // The store responds once a key changes. The call is cancelled when the store becomes reachable or unreachable.
        bool isLongPoll = false;
    };
    Awaitable<StoreResponse> sendRequest(platform::StoreRequest, CallOptions);
    // The pages of an unfinished read.
    struct PartialRead {
        MirrorUpdate update { 0, true, {} };
        // The last key that was read.
        std::string after;
        std::int64_t era = 0;
        TimePoint startedAt {};
    };
    void updateReachability(int status);
    // Sets the era of a response. Returns false if the response is of an earlier era than others were, and so of a store that is
    // gone. A later era ends the pending watch, since its changes are those of the earlier one.
    bool acceptEra(StoreResponse&, std::optional<std::int64_t> named);
    // Cancels the pending watch, so that the caller starts a new one.
    void cancelPendingWatch();

    EventLoop& m_loop;
    std::string m_address;
    EdgeMetrics& m_metrics;
    std::shared_ptr<UpstreamConnection> m_watchConnection;
    std::shared_ptr<UpstreamConnection> m_callConnection;
    std::optional<PartialRead> m_partialRead;
    // Connection of the pending watch.
    std::weak_ptr<UpstreamConnection> m_pendingWatch;
    // The pending watch was cancelled by this client, so its failure does not mean that the store is unreachable.
    bool m_watchCancelled = false;
    TimePoint m_lastResponseAt {};
    bool m_isReachable = false;
    std::optional<std::int64_t> m_era;
    // Whether the last response that the store served named an era.
    bool m_isEraReadable = true;
};

}
