// Streams that may be resumed, through two entry instances to four model workers, which are full at times and refuse a request, as the
// pages show it, without an id. For five seconds two of them are faulty: to 3 in 100 of their answers they add a second copy. It is late
// and comes where the answer to the next request on the kept channel is due, and the worker works on that request all the same. Checks
// that no stream goes on at another worker while the one before still works on it 400 ms later.

#include "site.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <set>
#include <thread>

using namespace review;

namespace {

constexpr int streams = 280, events = 10, workers = 4, faultyWorkers = 2;
constexpr std::chrono::milliseconds streamPeriod = 25ms, eventPeriod = 20ms, faultTime = 5s;
// Of the answers of a faulty worker, as in `garble` of the site.
constexpr int repeatedPercent = 3;
// Each n-th request finds its worker full.
constexpr int refusedEach = 5;
// Times to the first event: of a short prompt, and of one that waits until a long one of another request has been read.
constexpr std::chrono::milliseconds shortPrefill = 50ms, longPrefill = 900ms;
constexpr auto allowedOverlap = 400ms;
constexpr auto refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";

struct Run {
    // When the worker got the request, when its first event was ready, and when it stopped to work on it.
    Clock::time_point begun {}, firstEvent {}, ended {};
    bool hasEnded = false;
};

std::string chunk(const std::string& bytes) { return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n"); }

}

int main(int, char** argv)
{
    Record record(argv[1]);
    std::mutex mutex;
    // Runs by worker and id of the consumer attempt.
    std::map<std::pair<std::string, std::string>, Run> runs;
    // Works on a request until it is done, or its channel is closed.
    auto work = [&](const std::string& worker, const RawRequest& request, RawConnection& connection, std::chrono::milliseconds prefill) {
        auto id = request.field("X-Attempt-Id");
        auto update = [&](auto change) {
            std::lock_guard lock(mutex);
            change(runs[{ worker, id }]);
        };
        update([](Run& run) { run.begun = Clock::now(); });
        record.line(absl::StrCat(worker, " begins to work on ", id));
        bool isOpen = !connection.isClosedWithin(prefill);
        update([](Run& run) { run.firstEvent = Clock::now(); });
        if (isOpen)
            isOpen = connection.write(absl::StrCat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal-", id, "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int n = 1; n <= events && isOpen; ++n)
            isOpen = connection.write(chunk(absl::StrCat("id: ", n, "\ndata: piece ", n, "\n\n"))) && !connection.isClosedWithin(eventPeriod);
        if (isOpen)
            isOpen = connection.write("0\r\n\r\n");
        update([](Run& run) {
            run.ended = Clock::now();
            run.hasEnded = true;
        });
        record.line(absl::StrCat(worker, isOpen ? " has done " : " stops its work, as the channel is closed, on ", id));
        return isOpen;
    };
    std::mutex workersMutex;
    // The channels on which the last answer was a refusal.
    std::set<const RawConnection*> refusedOn;
    int requests = 0, faultyAnswers = 0, repeated = 0;
    std::atomic<bool> isFaulty = false;
    auto worker = [&](const std::string& name, bool mayBeFaulty) {
        return [&, name, mayBeFaulty](const RawRequest& request, RawConnection& connection) {
            auto id = request.field("X-Attempt-Id");
            bool isFull = false, isRepeated = false;
            {
                std::lock_guard lock(workersMutex);
                bool wasRefused = refusedOn.erase(&connection) > 0;
                bool isFaultyNow = isFaulty && mayBeFaulty;
                faultyAnswers += isFaultyNow;
                isRepeated = isFaultyNow && wasRefused && 100 * (repeated + 1) <= repeatedPercent * faultyAnswers;
                repeated += isRepeated;
                isFull = !isRepeated && ++requests % refusedEach == 0;
                if (isFull)
                    refusedOn.insert(&connection);
            }
            if (isFull) {
                record.line(absl::StrCat(name, " is full and refuses ", id));
                return connection.write(refusal);
            }
            if (isRepeated) {
                record.line(absl::StrCat(name, " writes the earlier refusal once more, where the answer to ", id, " is due"));
                connection.write(refusal);
            }
            return work(name, request, connection, isRepeated ? longPrefill : shortPrefill);
        };
    };
    std::vector<std::unique_ptr<skylarkhitch::standin::LoopbackServer>> servers;
    for (int n = 1; n <= workers; ++n)
        servers.push_back(std::make_unique<skylarkhitch::standin::LoopbackServer>(worker(absl::StrCat("i-", n), n <= faultyWorkers)));
    FleetStore store;
    auto stream = route("report", "streaming", "rug-model", 25000, 6000);
    stream["streamResume"] = true;
    stream["gapAimMs"] = 600;
    store.put("op/config", configuration(3, nlohmann::json::array({ stream })));
    for (int n = 1; n <= workers; ++n)
        store.put(absl::StrCat("servers/i-", n), registration("rug-model", servers[static_cast<std::size_t>(n - 1)]->address(), 1, 1));
    Deployment deployment(record, { store.address(), store.address() });
    deployment.startAll();
    if (!deployment.awaitReady(10s))
        return couldNotRun;
    std::this_thread::sleep_for(contactTime);
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    auto start = Clock::now();
    for (int n = 0; n < streams; ++n) {
        isFaulty = hasTrouble() && Clock::now() < start + faultTime;
        callers.emplace_back([&, n] {
            auto& instance = *deployment.instances[static_cast<std::size_t>(n) % deployment.instances.size()];
            auto id = absl::StrCat("stream-", n);
            auto connection = connectTo(instance.ip(), instance.entryPort());
            if (!connection)
                return;
            record.line(absl::StrCat("sent ", id));
            connection->write(absl::StrCat("POST /report/", n, " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", id, "\r\nX-Model-Name: m2\r\nX-Token-Count: 628,50\r\nX-Prefix-Hash: 5c1e07a2:512,", absl::Hex(n % 20 + 65536), ":79,", absl::Hex(n + 4096), ":37\r\nX-Deadline-Ms: 25000\r\nApi-Key: key-1\r\nContent-Length: 6\r\n\r\nprompt"));
            auto isWhole = connection->readUntil([](const std::string& bytes) { return bytes.find("\r\n0\r\n\r\n") != std::string::npos; }, 10s);
            served += isWhole;
            record.line(absl::StrCat(id, isWhole ? " is answered whole" : " is not answered"));
        });
        std::this_thread::sleep_for(streamPeriod);
    }
    for (auto& it : callers)
        it.join();
    std::this_thread::sleep_for(2s);
    std::lock_guard lock(mutex);
    int broken = 0;
    for (const auto& [firstKey, first] : runs) {
        for (const auto& [key, other] : runs) {
            if (key.second != firstKey.second || key.first == firstKey.first || other.begun < first.begun)
                continue;
            // It goes on there with its first event.
            auto overlap = std::chrono::duration_cast<std::chrono::milliseconds>((first.hasEnded ? first.ended : Clock::now()) - other.firstEvent);
            bool isBroken = overlap > allowedOverlap;
            broken += isBroken;
            record.line(absl::StrCat(key.second, " goes on at ", key.first, " while ", firstKey.first, " works on it for another ", overlap.count(), " ms", isBroken ? ": BROKEN" : ""));
        }
    }
    record.line(absl::StrCat("streams ", streams, ", answered whole ", served.load(), ", repeated refusals ", repeated, ", at work twice for over 400 ms ", broken));
    store.cutWatches();
    if (served < streams / 2 || (hasTrouble() && repeated == 0))
        return couldNotRun;
    return broken > 0 ? ruleBroken : ruleHeld;
}
