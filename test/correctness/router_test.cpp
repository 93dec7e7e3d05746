// Tests behaviour of the whole core that involves several modules.

#include "fakes/simulated_site.h"

#include <absl/strings/str_replace.h>
#include <catch2/catch.hpp>

using namespace skylarkhitch;

namespace {

SimulatedSite::Options longTimeoutOptions()
{
    return { .entries = 2, .seed = 1, .configuration = absl::StrReplaceAll(sampleConfiguration(), { { "attempt_timeout_ms: 3000", "attempt_timeout_ms: 60000, max_body_bytes: 2000" } }) };
}

CallerRequest slowChat()
{
    auto request = chatRequest("small", false);
    request.deadline = Seconds(60);
    return request;
}

}

TEST_CASE("the capacity of a stopped instance becomes available to the others")
{
    SimulatedSite site(longTimeoutOptions());
    for (auto& [id, it] : site.upstreams)
        it.extraDelay = Seconds(30);
    site.run(Seconds(3));
    // Two upstreams with eight slots each serve the version.
    for (int n = 0; n < 16; ++n)
        site.send(1, slowChat());
    site.run(Seconds(2));
    REQUIRE(site.runs.size() == 16);
    site.kill(1);
    // Until the requests that the upstreams still run for it have ended.
    site.run(Seconds(70));
    for (int n = 0; n < 16; ++n)
        site.send(0, slowChat());
    site.run(Seconds(3));
    CHECK(site.runs.size() == 32);
}

TEST_CASE("a body over the configured size limit is rejected")
{
    SimulatedSite site(longTimeoutOptions());
    site.run(Seconds(3));
    auto request = slowChat();
    request.body = std::make_shared<const std::string>(2001, 'x');
    auto caller = site.send(0, request);
    site.run(Seconds(1));
    CHECK(site.callers[caller].errorKind() == "request_too_large");
    CHECK(site.callers[caller].errorExecuted() == "no");
    CHECK(site.runs.empty());
}

TEST_CASE("the routing of a request is explained")
{
    SimulatedSite site(longTimeoutOptions());
    site.run(Seconds(3));
    auto explanationOf = [&](const char* team, const char* target) {
        std::string all;
        for (const auto& it : site.router(0).explain({ { team }, target }, site.now()))
            all += it + "\n";
        return all;
    };
    CHECK_THAT(explanationOf("weavers", "small"), Catch::Contains("chosen for a new request: small-1"));
    CHECK_THAT(explanationOf("weavers", "draft"), Catch::Contains("quality target 0.7"));
    CHECK_THAT(explanationOf("guests", "large"), Catch::Contains("refused as not_allowed"));
    CHECK_THAT(explanationOf("guests", "none"), Catch::Contains("refused as unknown_target"));
    CHECK_THAT(explanationOf("nobody", "small"), Catch::Contains("no team is named 'nobody'"));
}
