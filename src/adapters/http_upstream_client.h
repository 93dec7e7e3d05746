#pragma once

// Sends attempts over HTTP: chat requests to model engines, with responses streamed as server-sent events or returned in
// one piece, and calls to other services. The AttemptEnd of an attempt tells whether the upstream executed the request, did
// not execute it, or may have executed it.

#include "adapters/http_client.h"
#include "ports/upstream_client.h"

#include <mutex>

namespace skylarkhitch {

class HttpUpstreamClient final : public UpstreamClient {
public:
    HttpUpstreamClient(HttpClient& client, Sink sink)
        : m_client(client)
        , m_sink(std::move(sink))
    {
    }
    void send(const SendAttempt&) override;
    void cancel(AttemptId) override;

private:
    void removeCall(AttemptId);

    HttpClient& m_client;
    Sink m_sink;
    std::mutex m_mutex;
    // Calls of the attempts in flight.
    std::map<AttemptId, HttpClient::CallId> m_calls;
};

}
