// Streams through three entry instances to twelve model workers, one part of whose prompts crashes each worker that begins to write an
// answer on it. Requests with that part come nine at a time, 4 s apart, beside sound ones. Checks how many of them reach workers later
// than contactMs after the fifth crash.

#include "site.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <thread>

using namespace review;
using skylarkhitch::standin::CrashingEngine;

namespace {

constexpr int workers = 12, instanceCount = 3, burst = 9, bursts = 3;
constexpr std::chrono::milliseconds burstPeriod = 4s, workerDownTime = 2500ms, soundPeriod = 50ms;
constexpr std::size_t fifth = 4, allowedRequests = 3;
constexpr auto fatalPart = "dead0bad";

// Sends a request on a new connection and returns the answer, as far as it came.
std::string send(const Instance& instance, const std::string& id, const std::string& parts)
{
    auto connection = connectTo(instance.ip(), instance.entryPort());
    if (!connection)
        return {};
    connection->write(absl::StrCat("POST /report/", id, " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", id, "\r\nX-Model-Name: m2\r\nX-Token-Count: 628,50\r\nX-Prefix-Hash: 5c1e07a2:512,", parts, "\r\nX-Deadline-Ms: 25000\r\nApi-Key: key-1\r\nContent-Length: 6\r\n\r\nprompt"));
    return connection->readResponse(5s);
}

}

int main(int, char** argv)
{
    Record record(argv[1]);
    FleetStore store;
    // Its streams may not be resumed.
    store.put("op/config", configuration(3, nlohmann::json::array({ route("report", "streaming", "rug-model", 25000, 6000) })));
    std::vector<std::unique_ptr<CrashingEngine>> engines;
    for (int n = 1; n <= workers; ++n)
        engines.push_back(std::make_unique<CrashingEngine>(store, absl::StrCat("i-", n), "rug-model", fatalPart));
    Deployment deployment(record, std::vector<std::string>(instanceCount, store.address()));
    deployment.startAll();
    if (!deployment.awaitReady(10s))
        return couldNotRun;
    auto instanceOf = [&](int n) -> const Instance& { return *deployment.instances[static_cast<std::size_t>(n % instanceCount)]; };
    std::atomic<bool> isOver = false;
    std::atomic<int> sound = 0, soundServed = 0;
    std::thread restarts([&] {
        while (!isOver) {
            for (auto& it : engines)
                it->restartAfter(workerDownTime);
            std::this_thread::sleep_for(50ms);
        }
    });
    std::thread soundCallers([&] {
        std::vector<std::thread> callers;
        for (int n = 0; !isOver; ++n) {
            callers.emplace_back([&, n] {
                ++sound;
                soundServed += statusOf(send(instanceOf(n), absl::StrCat("sound-", n), absl::StrCat(absl::Hex(n % 20 + 65536), ":79,", absl::Hex(n + 4096), ":37"))) == 200;
            });
            std::this_thread::sleep_for(soundPeriod);
        }
        for (auto& it : callers)
            it.join();
    });
    std::this_thread::sleep_for(contactTime);
    for (int b = 0; b < bursts; ++b) {
        auto next = Clock::now() + burstPeriod;
        std::vector<std::thread> callers;
        for (int n = 0; n < burst; ++n) {
            callers.emplace_back([&, b, n] {
                auto id = absl::StrCat("burst-", b, "-", n);
                record.line(absl::StrCat("sent ", id));
                auto part = hasTrouble() ? fatalPart : "600d0001";
                auto answer = send(instanceOf(n), id, absl::StrCat(part, ":40,", absl::Hex(n % 20 + 65536), ":79,", absl::Hex(100 * b + n + 524288), ":37"));
                record.line(absl::StrCat(id, " is answered ", statusOf(answer)));
            });
        }
        for (auto& it : callers)
            it.join();
        std::this_thread::sleep_until(next);
    }
    isOver = true;
    soundCallers.join();
    restarts.join();
    std::vector<Clock::time_point> crashes, arrivals;
    for (auto& it : engines) {
        auto ownCrashes = it->crashes();
        auto ownArrivals = it->fatalRequests();
        crashes.insert(crashes.end(), ownCrashes.begin(), ownCrashes.end());
        arrivals.insert(arrivals.end(), ownArrivals.begin(), ownArrivals.end());
    }
    std::sort(crashes.begin(), crashes.end());
    auto late = crashes.size() <= fifth ? 0 : std::count_if(arrivals.begin(), arrivals.end(), [&](auto at) { return at > crashes[fifth] + contactTime; });
    record.line(absl::StrCat("crashes ", crashes.size(), ", requests with the part that reached workers ", arrivals.size(), ", later than 3 s after the fifth crash ", late, ", allowed ", allowedRequests, ", sound requests ", sound.load(), ", served ", soundServed.load()));
    store.cutWatches();
    if (soundServed < 20 || (hasTrouble() && crashes.size() <= fifth))
        return couldNotRun;
    return static_cast<std::size_t>(late) > allowedRequests ? ruleBroken : ruleHeld;
}
