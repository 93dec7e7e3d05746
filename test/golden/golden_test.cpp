// Compares traces of complete scenarios with golden files: messages of callers, peers, upstreams and the store, and state
// changes. SKYLARKHITCH_RENEW=1 rewrites the files; a commit that changes them must give the reason.

#include "fakes/simulated_site.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace skylarkhitch;

namespace {

std::string pathOf(const std::string& name) { return std::string(SKYLARKHITCH_SOURCE_DIR) + "/test/golden/" + name + ".txt"; }

std::string readFile(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// Describes the first line that differs, or returns an empty string if there is none.
std::string firstDifference(const std::string& expected, const std::string& actual)
{
    std::istringstream expectedLines(expected);
    std::istringstream actualLines(actual);
    std::string expectedLine;
    std::string actualLine;
    for (int line = 1;; ++line) {
        bool hasExpected = static_cast<bool>(std::getline(expectedLines, expectedLine));
        bool hasActual = static_cast<bool>(std::getline(actualLines, actualLine));
        if (!hasExpected && !hasActual)
            return {};
        if (hasExpected != hasActual || expectedLine != actualLine)
            return "line " + std::to_string(line) + "\n  expected: " + (hasExpected ? expectedLine : "(end)") + "\n  found:    " + (hasActual ? actualLine : "(end)");
    }
}

void compareWithGolden(const std::string& name, const SimulatedSite& site)
{
    std::string actual;
    for (const auto& it : site.trace)
        actual += it + "\n";
    if (std::getenv("SKYLARKHITCH_RENEW"))
        std::ofstream(pathOf(name)) << actual;
    INFO(name << ": " << firstDifference(readFile(pathOf(name)), actual));
    CHECK(readFile(pathOf(name)) == actual);
}

std::unique_ptr<SimulatedSite> startedSite()
{
    auto site = std::make_unique<SimulatedSite>(SimulatedSite::Options { .entries = 3, .seed = 5 });
    site->run(Milliseconds(2000));
    site->tracing = true;
    return site;
}

}

TEST_CASE("traces of complete scenarios match the golden files")
{
    auto site = startedSite();
    SECTION("a chat through a cascade, a streamed chat of a session, and the next chat of the session at another entry")
    {
        site->send(0, chatRequest("draft", false));
        site->run(Milliseconds(600));
        site->send(0, chatRequest("small", true, "s"));
        site->run(Milliseconds(600));
        site->send(1, chatRequest("small", false, "s"));
        site->run(Milliseconds(600));
        compareWithGolden("chats", *site);
    }
    SECTION("a booking that is repeated at another entry, and a booking whose response is cut")
    {
        site->send(0, bookingRequest("k1", "loom 1"));
        site->run(Milliseconds(300));
        site->send(1, bookingRequest("k1", "loom 1"));
        site->run(Milliseconds(300));
        site->upstreams[{ "o1" }].responsesToCut = 1;
        site->upstreams[{ "o2" }].responsesToCut = 1;
        site->send(2, bookingRequest("k2", "loom 2"));
        site->run(Milliseconds(300));
        site->send(0, bookingRequest("k2", "loom 2"));
        site->run(Milliseconds(300));
        compareWithGolden("bookings", *site);
    }
    SECTION("a broken stream resumes at the next token on another upstream")
    {
        site->upstreams[{ "s1" }].responsesToCut = 1;
        site->upstreams[{ "s2" }].responsesToCut = 0;
        site->send(0, chatRequest("small", true));
        site->run(Milliseconds(50));
        site->send(0, chatRequest("small", true));
        site->run(Milliseconds(600));
        compareWithGolden("broken_stream", *site);
    }
    SECTION("a version is withdrawn by two concurrent edits")
    {
        auto withdrawn = sampleConfiguration();
        auto at = withdrawn.find("small-1: { model");
        withdrawn.insert(at + 11, "withdrawn: true, ");
        site->send(0, chatRequest("small", false, "s"));
        site->run(Milliseconds(500));
        site->edit(0, withdrawn, 1);
        site->edit(1, withdrawn, 1);
        site->run(Milliseconds(1500));
        site->send(2, chatRequest("small", false, "s"));
        site->run(Milliseconds(500));
        compareWithGolden("withdrawal", *site);
    }
    SECTION("the store is down while a chat is answered and a booking is refused")
    {
        site->store.down = true;
        site->send(0, chatRequest("small", false));
        site->send(1, bookingRequest("k3", "loom 3"));
        site->run(Milliseconds(4000));
        site->store.down = false;
        site->run(Milliseconds(3000));
        compareWithGolden("store_down", *site);
    }
}
