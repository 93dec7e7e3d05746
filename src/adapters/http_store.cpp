#include "adapters/http_store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    // Time that the client waits for the reply to a watch after the server's wait has ended.
    constexpr Milliseconds watchTimeoutMargin { 2000 };

    std::string encodeBase64(const std::string& bytes)
    {
        std::string text;
        absl::Base64Escape(bytes, &text);
        return text;
    }

    StoreItem parseItem(const Json& json)
    {
        StoreItem item { json.at("Key"), {}, json.at("ModifyIndex") };
        if (json.contains("Value") && json.at("Value").is_string())
            absl::Base64Unescape(json.at("Value").get<std::string>(), &item.value);
        return item;
    }

    // A response that cannot be parsed is treated like a failed call.
    StoreReply parseReadReply(StoreCallId id, const HttpResult& result)
    {
        StoreReply reply { id, StoreStatus::Unavailable, {} };
        if (result.end != HttpEnd::Complete)
            return reply;
        if (result.status == 404)
            reply.status = StoreStatus::NotFound;
        if (result.status != 200)
            return reply;
        try {
            for (const auto& it : Json::parse(result.body))
                reply.items.push_back(parseItem(it));
            reply.status = StoreStatus::Ok;
        } catch (const std::exception&) {
            reply.items.clear();
        }
        return reply;
    }

    StoreReply parseTransactionReply(StoreCallId id, const std::string& key, const HttpResult& result)
    {
        StoreReply reply { id, StoreStatus::Unavailable, {} };
        if (result.end != HttpEnd::Complete)
            return reply;
        if (result.status == 409)
            reply.status = StoreStatus::Conflict;
        if (result.status != 200)
            return reply;
        try {
            auto json = Json::parse(result.body);
            reply.items.push_back({ key, {}, json.at("Results").at(0).at("KV").at("ModifyIndex") });
            reply.status = StoreStatus::Ok;
        } catch (const std::exception&) {
            reply.items.clear();
        }
        return reply;
    }

}

void HttpStore::call(const StoreCall& call, ReplyCallback reply)
{
    switch (call.operation) {
    case StoreOperation::Get:
        return read(call, "", std::move(reply));
    case StoreOperation::List:
        return read(call, "?recurse=true", std::move(reply));
    case StoreOperation::Watch:
        return read(call, absl::StrCat("?index=", call.expected, "&wait=", call.timeout.count(), "ms"), std::move(reply));
    case StoreOperation::CompareAndSwap:
        return compareAndSwap(call, std::move(reply));
    case StoreOperation::Remove:
        return remove(call, std::move(reply));
    }
}

void HttpStore::read(const StoreCall& call, const std::string& query, ReplyCallback reply)
{
    HttpCall http { .method = "GET", .address = m_address, .path = "/v1/kv/" + call.key + query, .timeout = call.timeout };
    if (call.operation == StoreOperation::Watch)
        http.timeout += watchTimeoutMargin;
    m_client.start(std::move(http), { .onEnd = [id = call.call, reply = std::move(reply)](const HttpResult& result) { reply(parseReadReply(id, result)); } });
}

void HttpStore::compareAndSwap(const StoreCall& call, ReplyCallback reply)
{
    Json operation = { { "Verb", "cas" }, { "Key", call.key }, { "Value", encodeBase64(call.value) }, { "Index", call.expected } };
    Json body = Json::array();
    body.push_back({ { "KV", operation } });
    HttpCall http { .method = "PUT", .address = m_address, .path = "/v1/txn", .body = std::make_shared<const std::string>(body.dump()), .timeout = call.timeout };
    m_client.start(std::move(http), { .onEnd = [id = call.call, key = call.key, reply = std::move(reply)](const HttpResult& result) { reply(parseTransactionReply(id, key, result)); } });
}

void HttpStore::remove(const StoreCall& call, ReplyCallback reply)
{
    HttpCall http { .method = "DELETE", .address = m_address, .path = "/v1/kv/" + call.key, .timeout = call.timeout };
    m_client.start(std::move(http), { .onEnd = [id = call.call, reply = std::move(reply)](const HttpResult& result) {
        bool done = result.end == HttpEnd::Complete && result.status == 200;
        reply({ id, done ? StoreStatus::Ok : StoreStatus::Unavailable, {} });
    } });
}

}
