#pragma once

// HTTP API for operators and metrics collectors, on a separate port: status, configuration, bills, drain and metrics.

#include "adapters/http_server.h"
#include "adapters/peer_transport.h"
#include "adapters/prometheus_metrics.h"
#include "daemon/control_loop.h"
#include "ports/key_value_store.h"

namespace skylarkhitch {

class OperatorApi {
public:
    // There is no PeerTransport for a standalone instance. The drain callback starts a graceful shutdown.
    OperatorApi(ControlLoop&, KeyValueStore&, PrometheusMetrics&, const PeerTransport*, std::function<void()> drain);

    // Serves one request, whose response may follow later; called on the HTTP server's threads.
    void serve(const HttpRequest&, const std::shared_ptr<HttpReply>&);
    // Sends the result of an edit to the operator; called on the control thread.
    void execute(const EditCompleted&);

private:
    void serveStatus(const std::shared_ptr<HttpReply>&);
    void serveMetrics(const std::shared_ptr<HttpReply>&);
    void serveConfiguration(const std::shared_ptr<HttpReply>&);
    void serveEdit(const HttpRequest&, const std::shared_ptr<HttpReply>&);
    void serveExplanation(const HttpRequest&, const std::shared_ptr<HttpReply>&);
    void serveBills(const std::shared_ptr<HttpReply>&);

    ControlLoop& m_control;
    KeyValueStore& m_store;
    PrometheusMetrics& m_metrics;
    const PeerTransport* m_peers;
    std::function<void()> m_drain;
    std::mutex m_mutex;
    std::uint64_t m_lastTicket = 0;
    // Replies of edits that are not completed yet, by ticket.
    std::map<std::uint64_t, std::shared_ptr<HttpReply>> m_edits;
};

}
