// An engine in need states its Server-Limit. It is then cut off from the store, so that its entry is removed after three ping
// intervals, while it goes on serving. The cut ends, and the same process registers again.
//
// Rule LIMIT: later than contactMs (3000) after the first statement, the engine gets in no 4 s more than 1.5 times what the limit
// allows, and 5 requests, from instances that have passed on such an answer.

#include "site.h"

#include <absl/strings/str_cat.h>

using namespace review;

namespace {

constexpr auto contact = 3000ms, window = 4000ms;
constexpr double limit = 0.5;
constexpr auto allowed = static_cast<std::size_t>(1.5 * limit * 4 + 5);
constexpr int engineCount = 5;
// Three ping intervals of 1200 ms.
constexpr auto entryLifetime = 3600ms;
constexpr auto cutTime = 5000ms;
constexpr auto timeToFirstEvent = 150ms, timeToFirstEventInNeed = 1000ms;

}

int main(int argc, char** argv)
{
    if (argc < 2)
        return couldNotRun;
    int instanceCount = argc > 2 ? std::atoi(argv[2]) : 3;
    Record record(argv[1]);
    TemporaryFolder folder;
    FleetStore store;
    store.put("op/config", configuration(3).dump());

    std::mutex mutex;
    bool isInNeed = false;
    std::optional<Clock::time_point> firstStatedAt;
    std::vector<Clock::time_point> arrivals;
    auto serve = [&](const RawRequest& request, RawConnection& connection, bool isFirst) {
        bool states = false;
        if (isFirst) {
            std::lock_guard lock(mutex);
            states = isInNeed;
            if (isInNeed) {
                arrivals.push_back(Clock::now());
                record.line(absl::StrCat("i-1 got ", request.field("X-Attempt-Id")));
            }
        }
        if (connection.isClosedWithin(states ? timeToFirstEventInNeed : timeToFirstEvent))
            return false;
        skylarkhitch::standin::StreamOptions options;
        if (states) {
            options.fields = { { "Server-Limit", absl::StrCat(limit) } };
            std::lock_guard lock(mutex);
            firstStatedAt = firstStatedAt.value_or(Clock::now());
        }
        return skylarkhitch::standin::streamEvents(10, 20ms, options)(request, connection);
    };
    std::deque<ScriptedUpstream> engines;
    for (int n = 1; n <= engineCount; ++n)
        engines.emplace_back(absl::StrCat("i-", n), [&serve, n](const RawRequest& request, RawConnection& connection) { return serve(request, connection, n == 1); });
    auto enter = [&](int n, std::int64_t writes) { store.put(absl::StrCat("servers/i-", n), registration(absl::StrCat("127.0.0.1:", engines[static_cast<std::size_t>(n - 1)].port()), "assist", writes)); };
    for (int n = 1; n <= engineCount; ++n)
        enter(n, 1);
    std::deque<Instance> instances;
    for (int n = 1; n <= instanceCount; ++n)
        instances.emplace_back(folder, absl::StrCat("edge-", n), absl::StrCat("127.0.0.", 10 + n), InstanceSettings { store.address(), absl::StrCat("127.0.0.11:", ports().peer) });
    for (auto& it : instances) {
        if (!it.awaitReady(10s))
            return couldNotRun;
    }
    std::this_thread::sleep_for(1500ms);

    std::atomic<bool> isOver = false;
    std::atomic<int> ids = 0, sent = 0, served = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 36; ++caller) {
        callers.emplace_back([&, caller] {
            while (!isOver) {
                int n = ++ids;
                auto connection = instances[static_cast<std::size_t>(caller % instanceCount)].connect();
                if (connection) {
                    auto fields = absl::StrCat("X-Model-Name: m1\r\nX-Token-Count: 1400,60\r\nX-Prefix-Hash: f00d:300,5ab", n % 20, ":100,e", n, ":1000\r\n");
                    connection->write(requestBytes("POST", "/draft/x", absl::StrCat("r-", n), 20000ms, fields, "prompt"));
                    ++sent;
                    served += isWholeStream(connection->readResponse(20s)) ? 1 : 0;
                }
                std::this_thread::sleep_for(100ms);
            }
        });
    }
    std::this_thread::sleep_for(2s);
    {
        std::lock_guard lock(mutex);
        isInNeed = true;
    }
    record.line(absl::StrCat("i-1 is in need and states Server-Limit: ", limit));
    std::this_thread::sleep_for(6s);
    if (hasTrouble()) {
        record.line("i-1 is cut off from the store");
        std::this_thread::sleep_for(entryLifetime);
        store.remove("servers/i-1");
        record.line("the entry of i-1 is removed, after three ping intervals without a write");
        std::this_thread::sleep_for(cutTime - entryLifetime);
        enter(1, 7);
        record.line("the cut has ended: i-1 writes its entry, as the same process");
    } else
        std::this_thread::sleep_for(cutTime);
    std::this_thread::sleep_for(8s);
    isOver = true;
    for (auto& it : callers)
        it.join();
    for (auto& it : instances) {
        if (it.hasEnded())
            return couldNotRun;
    }
    if (!firstStatedAt)
        return couldNotRun;
    std::size_t most = 0;
    Clock::time_point mostFrom {};
    auto from = std::upper_bound(arrivals.begin(), arrivals.end(), *firstStatedAt + contact);
    for (auto first = from; first != arrivals.end(); ++first) {
        auto n = static_cast<std::size_t>(std::lower_bound(first, arrivals.end(), *first + window) - first);
        if (n > most) {
            most = n;
            mostFrom = *first;
        }
    }
    record.line(absl::StrCat("first statement at ", record.seconds(*firstStatedAt), " s; ", served.load(), " of ", sent.load(), " requests served"));
    record.line(absl::StrCat("later than 3 s after it: at most ", most, " requests in 4 s, from ", record.seconds(mostFrom), " s; allowed ", allowed));
    return most > allowed ? broken : held;
}
