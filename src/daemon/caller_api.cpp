#include "daemon/caller_api.h"

#include "core/routing/version_choice.h"
#include "daemon/request_parser.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    std::vector<HttpHeader> headersFor(const CallerResponseHead& head, const RequestId& request)
    {
        std::vector<HttpHeader> headers {
            { "Content-Type", head.contentType.empty() ? "application/octet-stream" : head.contentType },
            { "X-Request-Id", request.value },
            { "X-Ran", std::string(executedName(head.ran)) },
        };
        if (!head.model.empty())
            headers.push_back({ "X-Model", head.model });
        if (!head.version.empty())
            headers.push_back({ "X-Version", head.version });
        // The cost of a stream is known only at its end; its second-to-last event reports it.
        if (head.contentType != "text/event-stream")
            headers.push_back({ "X-Cost-Micros", std::to_string(head.cost) });
        // The header holds whole seconds, rounded up; the body has milliseconds.
        if (head.retryAfter.count() > 0)
            headers.push_back({ "Retry-After", std::to_string((head.retryAfter.count() + 999) / 1000) });
        return headers;
    }

    void respondError(HttpReply& reply, ErrorKind kind, const std::string& message, const RequestId& id)
    {
        const auto& info = errorInfo(kind);
        CallerResponseHead head { .status = info.httpStatus, .ran = Executed::No, .retryAfter = info.retryAfter };
        reply.respond(info.httpStatus, headersFor(head, id), errorBody(kind, message, Executed::No, id));
    }

    void respondJson(HttpReply& reply, int status, const Json& json)
    {
        reply.respond(status, { { "Content-Type", "application/json" } }, json.dump(-1, ' ', false, Json::error_handler_t::replace));
    }

    Json modelsJson(const Configuration& configuration, const Team& team)
    {
        Json data = Json::array();
        for (const auto& [id, model] : configuration.models) {
            if (mayUseModel(configuration, team, id))
                data.push_back({ { "id", id.value }, { "object", "model" }, { "version", model.current.value } });
        }
        for (const auto& it : team.cascades)
            data.push_back({ { "id", it }, { "object", "model" }, { "cascade", true } });
        return { { "object", "list" }, { "data", data } };
    }

}

RequestId CallerApi::newRequestId()
{
    return { absl::StrCat("r-", m_self.instance.value, "-", absl::Hex(m_self.number), "-", ++m_lastRequest) };
}

void CallerApi::serve(HttpRequest request, const std::shared_ptr<HttpReply>& reply)
{
    const auto& path = request.path;
    if (path == "/healthz")
        return respondJson(*reply, 200, { { "status", "ok" } });
    if (path == "/readyz") {
        m_control.postTask([reply](Router& router, TimePoint, Outbox&) {
            bool ready = router.ready() && !router.cutOff();
            respondJson(*reply, ready ? 200 : 503, { { "ready", ready } });
        });
        return;
    }
    if (path == "/v1/entry" && request.method == "GET")
        return serveEntry(request, reply);
    if (path == "/v1/models" && request.method == "GET")
        return serveModels(request, reply);
    if (path == "/v1/chat/completions" && request.method == "POST")
        return serveCall(std::move(request), reply, CallKind::Chat);
    if (absl::StartsWith(path, "/services/"))
        return serveCall(std::move(request), reply, CallKind::Service);
    respondError(*reply, ErrorKind::NoSuchPath, "no such path for this method; see GET /v1/entry, POST /v1/chat/completions, /services/NAME/PATH", newRequestId());
}

void CallerApi::serveEntry(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    EntryQuery query { request.queryValue("session"), { request.queryValue("domain") } };
    if (query.key.empty())
        query.key = bearerDigest(request);
    m_control.postTask([reply, query](Router& router, TimePoint, Outbox&) {
        auto entry = router.chooseEntry(query);
        auto keepFor = router.configManager().current() ? router.configManager().current()->limits.entryKeepFor : Milliseconds(1000);
        respondJson(*reply, 200, { { "address", entry.address }, { "alternatives", entry.alternatives }, { "keep_for_ms", keepFor.count() } });
    });
}

void CallerApi::serveModels(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    auto id = newRequestId();
    m_control.postTask([reply, id, digest = bearerDigest(request)](Router& router, TimePoint, Outbox&) {
        const auto& configuration = router.configManager().current();
        if (!configuration)
            return respondError(*reply, ErrorKind::NotConfigured, "no configuration is known yet", id);
        const auto* team = router.teamByKey(digest);
        if (!team)
            return respondError(*reply, ErrorKind::UnknownKey, "the bearer key belongs to no team", id);
        respondJson(*reply, 200, modelsJson(*configuration, *team));
    });
}

void CallerApi::serveCall(HttpRequest http, const std::shared_ptr<HttpReply>& reply, CallKind kind)
{
    auto id = newRequestId();
    auto parsed = parseCallerRequest(std::move(http), kind);
    if (parsed.error != ErrorKind::None)
        return respondError(*reply, parsed.error, parsed.message, id);
    parsed.request.id = id;
    {
        std::lock_guard lock(m_mutex);
        m_replies[id] = reply;
    }
    reply->onCallerDisconnected([this, id] {
        if (findReply(id, true))
            m_control.post(CallerDisconnected { id });
    });
    m_control.post(RequestReceived { std::move(parsed.request) });
}

std::shared_ptr<HttpReply> CallerApi::findReply(const RequestId& id, bool remove)
{
    std::lock_guard lock(m_mutex);
    auto it = m_replies.find(id);
    if (it == m_replies.end())
        return nullptr;
    auto reply = it->second;
    if (remove)
        m_replies.erase(it);
    return reply;
}

void CallerApi::execute(CallerResponse response)
{
    if (auto reply = findReply(response.request, true))
        reply->respond(response.head.status, headersFor(response.head, response.request), std::move(response.body));
}

void CallerApi::execute(const CallerStreamStart& start)
{
    if (auto reply = findReply(start.request, false))
        reply->startStream(start.head.status, headersFor(start.head, start.request));
}

void CallerApi::execute(const CallerStreamData& data)
{
    if (auto reply = findReply(data.request, false))
        reply->write("data: " + data.payload + "\n\n");
}

void CallerApi::execute(const CallerStreamEnd& end)
{
    if (auto reply = findReply(end.request, true)) {
        reply->write("data: " + end.payload + "\n\n");
        reply->finish();
    }
}

}
