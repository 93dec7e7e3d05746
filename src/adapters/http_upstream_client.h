#pragma once

// Attempts over HTTP: the chat protocol of model engines, streamed as server-sent events or whole, and calls to plain
// services. Says of each attempt exactly what is known about whether it ran.

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
    void ended(AttemptId);

    HttpClient& m_client;
    Sink m_sink;
    std::mutex m_mutex;
    std::map<AttemptId, HttpClient::CallId> m_calls;
};

}
