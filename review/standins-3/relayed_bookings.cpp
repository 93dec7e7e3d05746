// Bookings (non_idempotent) at an entry instance that is cut off from all workers for some seconds, while two other instances reach
// them. One of six workers fails a part of what it runs: it begins to work and answers 503 without X-Not-Executed. Checks that no
// booking runs more than once.

#include "fakes/fault_proxy.h"
#include "site.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <thread>

using namespace review;
using skylarkhitch::standin::FaultProxy;

namespace {

constexpr int bookings = 60, workerCount = 6;
constexpr std::chrono::milliseconds bookingPeriod = 50ms, workTime = 15ms;
// As in `srv_grey` of the site.
constexpr int failedPercent = 45;

}

int main(int, char** argv)
{
    Record record(argv[1]);
    std::mutex mutex;
    // The workers that began to work on each booking, by the id of the consumer attempt.
    std::map<std::string, std::vector<std::string>> runs;
    std::atomic<bool> isFailing = false;
    std::atomic<int> count = 0;
    auto worker = [&](const std::string& id, bool mayFail) {
        return [&, id, mayFail](const RawRequest& request, RawConnection& connection) {
            auto attempt = request.field("X-Attempt-Id");
            {
                std::lock_guard lock(mutex);
                runs[attempt].push_back(id);
                record.line(absl::StrCat(id, " begins to work on ", attempt, ", run ", runs[attempt].size()));
            }
            std::this_thread::sleep_for(workTime);
            if (mayFail && isFailing && ++count * 37 % 100 < failedPercent) {
                record.line(absl::StrCat(id, " fails ", attempt, " with 503, without X-Not-Executed"));
                return connection.write(answerTo(request, 503, "failed"));
            }
            return connection.write(answerTo(request, 200, "booked"));
        };
    };
    std::vector<std::unique_ptr<skylarkhitch::standin::LoopbackServer>> workers;
    // The way of the first instance to the workers leads through proxies, so its store names their addresses.
    std::vector<std::unique_ptr<FaultProxy>> links;
    FleetStore store, storeOfFirst;
    for (auto* it : { &store, &storeOfFirst })
        it->put("op/config", configuration(3, nlohmann::json::array({ route("charge", "non_idempotent", "orders-app", 800, 100) })));
    for (int n = 1; n <= workerCount; ++n) {
        auto id = absl::StrCat("i-", n), key = absl::StrCat("servers/", id);
        workers.push_back(std::make_unique<skylarkhitch::standin::LoopbackServer>(worker(id, n == 1)));
        links.push_back(std::make_unique<FaultProxy>(workers.back()->port()));
        store.put(key, registration("orders-app", workers.back()->address(), 1, 1, 6));
        storeOfFirst.put(key, registration("orders-app", links.back()->address(), 1, 1, 6));
    }
    Deployment deployment(record, { storeOfFirst.address(), store.address(), store.address() });
    auto& instances = deployment.instances;
    // One after the other, so that the instances have the same revision and take nothing but each other's entries from each other.
    for (auto n : { 1, 0, 2 }) {
        instances[static_cast<std::size_t>(n)]->start();
        std::this_thread::sleep_for(2s);
    }
    if (!deployment.awaitReady(10s))
        return couldNotRun;
    std::this_thread::sleep_for(contactTime);
    isFailing = hasTrouble();
    if (hasTrouble()) {
        record.line("the first instance is cut off from the workers");
        for (auto& it : links)
            it->setFault(skylarkhitch::standin::LinkFault::Reset);
        links.clear();
    }
    // Until the loss is noticed.
    std::this_thread::sleep_for(1500ms);
    int broken = 0, answered = 0;
    for (int n = 0; n < bookings; ++n) {
        auto id = absl::StrCat("booking-", n);
        auto connection = connectTo(instances[0]->ip(), instances[0]->entryPort());
        if (!connection)
            return couldNotRun;
        record.line(absl::StrCat("sent ", id, " to ", instances[0]->name()));
        connection->write(absl::StrCat("POST /charge/", n, " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", id, "\r\nX-Deadline-Ms: 1500\r\nApi-Key: key-1\r\nContent-Length: 4\r\n\r\nbook"));
        auto status = statusOf(connection->readResponse(2s));
        std::lock_guard lock(mutex);
        answered += status == 200;
        bool isBroken = runs[id].size() > 1;
        broken += isBroken;
        record.line(absl::StrCat(id, " is answered ", status, ", runs ", runs[id].size(), isBroken ? ": BROKEN" : ""));
        std::this_thread::sleep_for(bookingPeriod);
    }
    record.line(absl::StrCat("bookings ", bookings, ", answered 200 ", answered, ", run more than once ", broken));
    store.cutWatches();
    storeOfFirst.cutWatches();
    if (answered == 0)
        return couldNotRun;
    return broken > 0 ? ruleBroken : ruleHeld;
}
