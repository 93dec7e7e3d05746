#include "tool/admin_client.h"

#include <future>

namespace skylarkhitch {

namespace {

    constexpr Milliseconds callTimeout { 15000 };

}

AdminResponse AdminClient::get(const std::string& path)
{
    return call({ .method = "GET", .address = m_address, .path = path, .timeout = callTimeout });
}

AdminResponse AdminClient::post(const std::string& path, const nlohmann::json& body)
{
    return call({ .method = "POST", .address = m_address, .path = path, .body = std::make_shared<const std::string>(body.dump()), .timeout = callTimeout });
}

HttpResult AdminClient::send(HttpCall call)
{
    std::promise<HttpResult> result;
    m_client.start(std::move(call), { .onEnd = [&](HttpResult it) { result.set_value(std::move(it)); } });
    return result.get_future().get();
}

AdminResponse AdminClient::call(HttpCall call)
{
    auto result = send(std::move(call));
    if (result.end != HttpEnd::Complete)
        throw UnreachableError("no answer from the operator port " + m_address + "; check that the instance runs, or name another one with --operator");
    return { result.status, nlohmann::json::parse(result.body, nullptr, false) };
}

}
