#include "processes/edge_site.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace skylarkhitch {

using namespace standin;

std::string requestBytes(const std::string& method, const std::string& target, const std::string& id, const std::string& extraHeaders, const std::string& body, std::chrono::milliseconds timeout)
{
    auto length = method == "GET" ? std::string() : absl::StrCat("Content-Length: ", body.size(), "\r\n");
    return absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", id, "\r\nX-Deadline-Ms: ", timeout.count(), "\r\nApi-Key: key-1\r\n", extraHeaders, length, "\r\n", body);
}

std::string sendRequest(const EdgeInstance& instance, const std::string& bytes)
{
    auto connection = RawConnection::connect(instance.port());
    REQUIRE(connection);
    connection->write(bytes);
    return connection->readResponse();
}

std::string chunk(const std::string& bytes) { return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n"); }

Site::Site(const CallerTimes& times)
    : first("i-1", respondWith("hello"))
    , second("i-2", respondWith("hello"))
    , engine("i-3", streamEvents(3, std::chrono::milliseconds(5)))
    , otherEngine("i-4", streamEvents(3, std::chrono::milliseconds(5)))
{
    store.put("op/config", sampleConfiguration(3, "key-1", times));
    store.put("servers/i-1", first.registration("orders"));
    store.put("servers/i-2", second.registration("orders"));
    store.put("servers/i-3", engine.registration("assist"));
    store.put("servers/i-4", otherEngine.registration("assist"));
}

std::vector<RawRequest> Site::allRequests()
{
    auto requests = first.received();
    for (auto& it : second.received())
        requests.push_back(it);
    return requests;
}

std::size_t Site::receivedWithId(const std::string& id)
{
    std::size_t count = 0;
    for (auto* upstream : { &first, &second, &engine, &otherEngine }) {
        for (const auto& it : upstream->received())
            count += it.field("X-Attempt-Id") == id ? 1 : 0;
    }
    return count;
}

void Site::setScripts(const ScriptedUpstream::Script& script)
{
    first.setScript(script);
    second.setScript(script);
}

void Site::setEngineScripts(const ScriptedUpstream::Script& script)
{
    engine.setScript(script);
    otherEngine.setScript(script);
}

}
