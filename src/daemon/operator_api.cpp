#include "daemon/operator_api.h"

#include "adapters/callback_guard.h"
#include "core/bounded_document.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds storeTimeout { 5000 };
    constexpr std::string_view ledgerPrefix = "ledger/";

    // A discarded value if the text is no JSON within the bounds of documents.
    Json parseOrDiscard(const std::string& text)
    {
        try {
            return parseJson(text);
        } catch (const std::exception&) {
            return Json(Json::value_t::discarded);
        }
    }

    void respondJson(HttpReply& reply, int status, const Json& json)
    {
        reply.respond(status, { { "Content-Type", "application/json" } }, json.dump(-1, ' ', false, Json::error_handler_t::replace));
    }

    const char* stateName(MemberState state)
    {
        switch (state) {
        case MemberState::Live:
            return "live";
        case MemberState::Suspected:
            return "suspected";
        case MemberState::Leaving:
            break;
        }
        return "leaving";
    }

    Json membersJson(const Router& router)
    {
        Json members = Json::array();
        for (const auto& [id, it] : router.membership().members())
            members.push_back({ { "instance", id.value }, { "state", stateName(it.state) }, { "domain", it.heartbeat.domain.value },
                { "address", it.heartbeat.entryAddress }, { "revision", it.heartbeat.revision }, { "store_reachable", it.heartbeat.storeReachable } });
        return members;
    }

    // Instances that the platform lists but that no heartbeat was received from; their configuration revision is unknown.
    Json missingInstancesJson(const Router& router)
    {
        Json ids = Json::array();
        for (const auto& it : router.membership().missingInstances())
            ids.push_back(it.value);
        return ids;
    }

    Json upstreamsJson(const Router& router)
    {
        Json upstreams = Json::array();
        if (!router.configManager().current())
            return upstreams;
        for (const auto& [id, it] : router.configManager().current()->upstreams) {
            UpstreamCounters counters;
            if (auto own = router.upstreams().own().find(id); own != router.upstreams().own().end())
                counters = own->second;
            upstreams.push_back({ { "upstream", id.value }, { "address", it.address }, { "serves", it.version.empty() ? it.service.value : it.version.value },
                { "domain", it.domain.value }, { "in_flight", counters.inFlight }, { "done", counters.done }, { "failed", counters.failed }, { "leaving", router.upstreams().leaving(id) } });
        }
        return upstreams;
    }

    Json versionsJson(const Router& router)
    {
        Json versions = Json::array();
        if (!router.configManager().current())
            return versions;
        for (const auto& [id, it] : router.configManager().current()->versions)
            versions.push_back({ { "version", id.value }, { "model", it.model.value }, { "withdrawn", it.withdrawn },
                { "health", healthName(router.evidence().health(id)) }, { "mean_rating", router.evidence().meanRating(id) } });
        return versions;
    }

    Json statusJson(const Router& router)
    {
        const auto& self = router.membership().self();
        return {
            { "instance", self.instance.value },
            { "incarnation", self.number },
            { "domain", router.membership().domain().value },
            { "address", router.membership().entryAddress() },
            { "revision", router.configManager().revision() },
            { "draining", router.draining() },
            { "cut_off", router.cutOff() },
            { "store_reachable", router.store().reachable() },
            { "requests_in_flight", router.requestsInFlight() },
            { "requests_waiting", router.requestsWaiting() },
            { "records_unsettled", router.ledger().unconfirmedRecords() },
            { "records_held", router.ledger().heldRecords() },
            { "members", membersJson(router) },
            { "unheard", missingInstancesJson(router) },
            { "instances_listed", router.membership().hasInstanceList() },
            { "upstreams", upstreamsJson(router) },
            { "versions", versionsJson(router) },
        };
    }

    Json historyJson(const ConfigurationDocument& document)
    {
        Json history = Json::array();
        for (const auto& it : document.history)
            history.push_back({ { "revision", it.revision }, { "edit_id", it.editId }, { "author", it.author },
                { "at_ms", std::chrono::duration_cast<Milliseconds>(it.at.time_since_epoch()).count() } });
        return history;
    }

    // Returns the number of the shard that a key of the ledger belongs to.
    std::optional<std::uint32_t> shardOf(const std::string& key)
    {
        std::uint32_t shard = 0;
        if (key.size() < ledgerPrefix.size() || !absl::SimpleAtoi(key.substr(ledgerPrefix.size(), 2), &shard))
            return std::nullopt;
        return shard;
    }

    // Sums the bills of all shards that can be decoded; the others are left out. LedgerIndex counts each key once, even if a
    // shard holds several copies of its record.
    Json billsJson(const StoreReply& reply)
    {
        std::map<std::uint32_t, std::vector<StoreItem>> shards;
        for (const auto& item : reply.items) {
            if (auto shard = shardOf(item.key))
                shards[*shard].push_back(item);
        }
        std::map<TeamId, Bill> bills;
        for (auto& [shard, items] : shards) {
            auto contents = decodeShard(shard, std::move(items));
            if (!contents)
                continue;
            LedgerIndex index;
            index.begin(contents->totals);
            for (const auto& segment : contents->segments)
                for (const auto& batch : segment.batches)
                    for (const auto& record : batch.records)
                        index.add(record);
            for (const auto& [id, bill] : index.totals())
                addBill(bills[id], bill);
        }
        Json teams = Json::array();
        for (const auto& [id, bill] : bills)
            teams.push_back({ { "team", id.value }, { "cost_micros", bill.cost }, { "input_tokens", bill.inputTokens }, { "output_tokens", bill.outputTokens } });
        return { { "teams", teams } };
    }

}

OperatorApi::OperatorApi(ControlLoop& control, KeyValueStore& store, PrometheusMetrics& metrics, const PeerTransport* peers, std::function<void()> drain)
    : m_control(control)
    , m_store(store)
    , m_metrics(metrics)
    , m_peers(peers)
    , m_drain(std::move(drain))
{
}

void OperatorApi::serve(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    const auto& path = request.path;
    bool isGet = request.method == "GET";
    if (path == "/metrics" && isGet)
        return serveMetrics(reply);
    if (path == "/healthz" && isGet)
        return respondJson(*reply, 200, { { "status", "ok" } });
    if (path == "/admin/status" && isGet)
        return serveStatus(reply);
    if (path == "/admin/config" && isGet)
        return serveConfiguration(reply);
    if (path == "/admin/config" && request.method == "POST")
        return serveEdit(request, reply);
    if (path == "/admin/bills" && isGet)
        return serveBills(reply);
    if (path == "/admin/explain" && isGet)
        return serveExplanation(request, reply);
    if (path == "/admin/drain" && request.method == "POST") {
        m_drain();
        return respondJson(*reply, 202, { { "draining", true } });
    }
    respondJson(*reply, 404, { { "error", "no such path" } });
}

void OperatorApi::serveStatus(const std::shared_ptr<HttpReply>& reply)
{
    m_control.postTask([reply](Router& router, TimePoint, Outbox&) { respondJson(*reply, 200, statusJson(router)); });
}

void OperatorApi::serveMetrics(const std::shared_ptr<HttpReply>& reply)
{
    m_control.postTask([this, reply](Router& router, TimePoint, Outbox&) {
        m_metrics.setGauge("revision", static_cast<double>(router.configManager().revision()));
        m_metrics.setGauge("requests_in_flight", static_cast<double>(router.requestsInFlight()));
        m_metrics.setGauge("requests_waiting", static_cast<double>(router.requestsWaiting()));
        m_metrics.setGauge("records_unsettled", static_cast<double>(router.ledger().unconfirmedRecords()));
        m_metrics.setGauge("records_held", static_cast<double>(router.ledger().heldRecords()));
        m_metrics.setGauge("store_calls", static_cast<double>(router.store().sent()));
        m_metrics.setGauge("failed_callbacks", static_cast<double>(failedCallbacks()));
        m_metrics.setGauge("members", static_cast<double>(router.membership().members().size() + 1));
        if (m_peers) {
            auto counts = m_peers->counts();
            m_metrics.setGauge("peer_messages_sent", static_cast<double>(counts.sent));
            m_metrics.setGauge("peer_bytes_sent", static_cast<double>(counts.sentBytes));
            m_metrics.setGauge("peer_frames_refused", static_cast<double>(counts.refused));
            m_metrics.setGauge("peer_messages_dropped", static_cast<double>(counts.dropped));
        }
        reply->respond(200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.text());
    });
}

void OperatorApi::serveConfiguration(const std::shared_ptr<HttpReply>& reply)
{
    m_control.postTask([reply](Router& router, TimePoint, Outbox&) {
        const auto& document = router.configManager().document();
        Json json = { { "revision", document.revision }, { "author", document.author }, { "history", historyJson(document) } };
        json["configuration"] = document.text.empty() ? Json() : parseOrDiscard(document.text);
        respondJson(*reply, 200, json);
    });
}

void OperatorApi::serveEdit(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    auto json = parseOrDiscard(request.body);
    auto has = [&](const char* name, bool (*isOfType)(const Json&)) { return json.contains(name) && isOfType(json[name]); };
    auto isText = [](const Json& it) { return it.is_string(); };
    bool valid = json.is_object() && has("edit_id", isText) && has("base", [](const Json& it) { return it.is_number_unsigned(); })
        && has("configuration", [](const Json& it) { return it.is_object(); }) && (!json.contains("author") || has("author", isText));
    if (!valid)
        return respondJson(*reply, 400, { { "error", "expected an object with edit_id, base, configuration and, if it is given, author as text, nested at most " + std::to_string(maxDocumentDepth) + " levels deep" } });
    EditRequested edit;
    edit.base = json["base"];
    edit.document.editId = json["edit_id"];
    edit.document.author = json.value("author", "");
    edit.document.text = json["configuration"].dump();
    {
        std::lock_guard lock(m_mutex);
        edit.ticket = ++m_lastTicket;
        m_edits[edit.ticket] = reply;
    }
    m_control.postTask([edit = std::move(edit)](Router& router, TimePoint now, Outbox& out) mutable {
        edit.document.at = now;
        router.handle(std::move(edit), now, out);
    });
}

void OperatorApi::execute(const EditCompleted& completed)
{
    std::shared_ptr<HttpReply> reply;
    {
        std::lock_guard lock(m_mutex);
        auto it = m_edits.find(completed.ticket);
        if (it == m_edits.end())
            return;
        reply = it->second;
        m_edits.erase(it);
    }
    auto kind = kindOf(completed.ec);
    respondJson(*reply, errorInfo(kind).httpStatus, { { "result", errorInfo(kind).name }, { "revision", completed.revision }, { "message", completed.message } });
}

void OperatorApi::serveExplanation(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    ExplainQuery query { { request.queryValue("team") }, request.queryValue("target"), { request.queryValue("session") } };
    m_control.postTask([reply, query](Router& router, TimePoint now, Outbox&) {
        respondJson(*reply, 200, { { "steps", router.explain(query, now) } });
    });
}

void OperatorApi::serveBills(const std::shared_ptr<HttpReply>& reply)
{
    StoreCall call { .operation = StoreOperation::List, .key = std::string(ledgerPrefix), .timeout = storeTimeout };
    m_store.call(call, [reply](const StoreReply& storeReply) {
        if (storeReply.status == StoreStatus::Unavailable)
            return respondJson(*reply, 503, { { "error", "the store cannot be reached; try again later" } });
        respondJson(*reply, 200, billsJson(storeReply));
    });
}

}
