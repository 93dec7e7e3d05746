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
    OperatorApi(ControlLoop&, KeyValueStore&, PrometheusMetrics&, const PeerTransport*, std::function<void()> drain);

    void serve(const HttpRequest&, const std::shared_ptr<HttpReply>&);
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
    std::map<std::uint64_t, std::shared_ptr<HttpReply>> m_edits;
};

}
