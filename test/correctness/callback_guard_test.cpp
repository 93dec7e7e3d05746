// Tests that an exception in one callback leaves the rest of the process running.

#include "adapters/callback_guard.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "adapters/peer_transport.h"
#include "adapters/prometheus_metrics.h"
#include "config/parse_configuration.h"
#include "daemon/control_loop.h"

#include <catch2/catch.hpp>
#include <future>
#include <stdexcept>

using namespace skylarkhitch;

namespace {

[[noreturn]] void fail() { throw std::runtime_error("odd"); }

HttpResult send(HttpClient& client, HttpCall call)
{
    std::promise<HttpResult> result;
    client.start(std::move(call), { .onEnd = [&](HttpResult it) { result.set_value(std::move(it)); } });
    return result.get_future().get();
}

bool eventually(const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + Seconds(10);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return true;
}

}

// Guards against one request that ends the process, and with it the requests of all callers.
TEST_CASE("an exception in a handler of HTTP requests ends its request only")
{
    auto before = failedCallbacks();
    HttpServer server({ .listen = "127.0.0.1:0" }, [](const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
        if (request.path == "/odd")
            fail();
        reply->onCallerDisconnected(&fail);
        if (request.path == "/lost")
            return reply->abort();
        reply->respond(200, {}, "ok");
    });
    HttpClient client;
    HttpCall call { .address = "127.0.0.1:" + std::to_string(server.port()), .path = "/odd", .timeout = Milliseconds(5000), .mayResend = false };
    auto odd = send(client, call);
    CHECK(odd.end == HttpEnd::Complete);
    CHECK(odd.status == 500);
    CHECK(failedCallbacks() == before + 1);
    SECTION("and so does one in the callback for a caller that disconnected")
    {
        call.path = "/lost";
        CHECK(send(client, call).end == HttpEnd::Cut);
        CHECK(eventually([&] { return failedCallbacks() == before + 2; }));
    }
    call.path = "/";
    CHECK(send(client, call).body == "ok");
}

// Guards against one answer of an upstream or of the store that ends the process.
TEST_CASE("an exception in a callback for a response ends its call only")
{
    auto before = failedCallbacks();
    HttpServer server({ .listen = "127.0.0.1:0" }, [](const HttpRequest&, const std::shared_ptr<HttpReply>& reply) { reply->respond(200, {}, "ok"); });
    HttpClient client;
    HttpCall call { .address = "127.0.0.1:" + std::to_string(server.port()), .path = "/", .timeout = Milliseconds(5000) };
    SECTION("while the body is received; the response is then cut")
    {
        std::promise<HttpEnd> end;
        client.start(call, { .onData = [](int, std::string_view) { fail(); }, .onEnd = [&](const HttpResult& it) { end.set_value(it.end); } });
        CHECK(end.get_future().get() == HttpEnd::Cut);
        CHECK(failedCallbacks() == before + 1);
    }
    SECTION("at its end")
    {
        client.start(call, { .onEnd = [](const HttpResult&) { fail(); } });
        CHECK(eventually([&] { return failedCallbacks() == before + 1; }));
    }
    CHECK(send(client, call).body == "ok");
}

// Guards against one event or one question of an operator that ends the control thread.
TEST_CASE("an exception on the control thread ends its task only")
{
    auto before = failedCallbacks();
    PrometheusMetrics metrics;
    ControlLoop control(RouterSettings {}, makeConfigurationReader(), metrics);
    std::promise<void> sunk;
    control.start([&](const Action& action) {
        if (std::holds_alternative<EditCompleted>(action))
            fail();
        if (std::holds_alternative<StateChanged>(action))
            sunk.set_value();
    });
    control.postTask([](Router&, TimePoint, Outbox&) { fail(); });
    control.postTask([](Router&, TimePoint, Outbox& out) {
        out.push_back(EditCompleted {});
        out.push_back(StateChanged {});
    });
    CHECK(sunk.get_future().wait_for(Seconds(5)) == std::future_status::ready);
    CHECK(failedCallbacks() == before + 2);
}

// Guards against a request that was taken and gets no answer.
TEST_CASE("a request whose event fails is answered")
{
    struct FailingMetrics final : MetricsSink {
        void requestEnded(const RequestSummary&) override { fail(); }
        void tokenGap(const TeamId&, const RankId&, Microseconds) override { }
        void attemptEnded(const UpstreamId&, const VersionId&, AttemptEnd) override { }
        void strayResponse() override { }
        void retried() override { }
    };
    FailingMetrics metrics;
    ControlLoop control(RouterSettings {}, makeConfigurationReader(), metrics);
    std::mutex mutex;
    std::vector<std::string> answered;
    control.start([&](const Action& action) {
        std::lock_guard lock(mutex);
        if (const auto* it = std::get_if<CallerResponse>(&action))
            answered.push_back(it->request.value);
    });
    for (const auto* id : { "r-1", "r-2" })
        control.post(RequestReceived { { .id = { id }, .body = std::make_shared<const std::string>("{}") } });
    CHECK(eventually([&] {
        std::lock_guard lock(mutex);
        return std::count(answered.begin(), answered.end(), "r-1") > 0 && std::count(answered.begin(), answered.end(), "r-2") > 0;
    }));
}

// Guards against a peer whose message or address ends the thread that talks to all peers.
TEST_CASE("an odd peer leaves the messages of the others alone")
{
    auto before = failedCallbacks();
    std::atomic<int> received = 0;
    PeerTransport receiver({ { { "b" }, 1 }, "127.0.0.1:0", "secret" }, [&](const PeerEnvelope&) {
        if (++received == 1)
            fail();
    });
    PeerTransport sender({ { { "a" }, 1 }, "127.0.0.1:0", "secret" }, [](const PeerEnvelope&) {});
    PeerEnvelope pull { { { "a" }, 1 }, ConfigurationPull {} };
    for (const auto* odd : { "nonsense", "127.0.0.1:99999", "host.example:80", ":", "127.0.0.1:" }) {
        sender.setAddress({ odd }, odd);
        sender.send({ odd }, pull);
    }
    sender.setAddress({ "b" }, "127.0.0.1:" + std::to_string(receiver.port()));
    CHECK(eventually([&] {
        sender.send({ "b" }, pull);
        return received >= 3;
    }));
    CHECK(failedCallbacks() == before + 1);
}
