// Bookings (non_idempotent) through three entry instances to six workers, one of which fails for some seconds a part of what it runs: it begins to work
// and answers 503 without X-Not-Executed. Checks that no booking that has run is answered with a status that means "not run".

#include "site.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <set>
#include <thread>

using namespace review;

namespace {

constexpr int bookings = 100, workerCount = 6;
constexpr auto bookingPeriod = 40ms, workTime = 15ms;
// Of the requests of the failing worker, as in `srv_grey` of the site.
constexpr int failedPercent = 45;

bool meansNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

}

int main(int, char** argv)
{
    Record record(argv[1]);
    std::mutex mutex;
    // How often each booking has run, by the id of the consumer attempt.
    std::map<std::string, int> runs;
    std::atomic<bool> isFailing = false;
    std::atomic<int> failures = 0;
    auto worker = [&](const std::string& id, bool mayFail) {
        return [&, id, mayFail](const RawRequest& request, RawConnection& connection) {
            auto attempt = request.field("X-Attempt-Id");
            int n = 0;
            {
                std::lock_guard lock(mutex);
                n = ++runs[attempt];
            }
            record.line(absl::StrCat(id, " begins to work on ", attempt, ", run ", n));
            std::this_thread::sleep_for(workTime);
            static std::atomic<int> count = 0;
            if (mayFail && isFailing && ++count * 37 % 100 < failedPercent) {
                ++failures;
                record.line(absl::StrCat(id, " fails ", attempt, " with 503, without X-Not-Executed"));
                return connection.write(answerTo(request, 503, "failed"));
            }
            return connection.write(answerTo(request, 200, "booked"));
        };
    };
    std::vector<std::unique_ptr<skylarkhitch::standin::LoopbackServer>> workers;
    FleetStore store;
    store.put("op/config", configuration(3, nlohmann::json::array({ route("charge", "non_idempotent", "orders-app", 800, 100) })));
    for (int n = 1; n <= workerCount; ++n) {
        auto id = absl::StrCat("i-", n);
        workers.push_back(std::make_unique<skylarkhitch::standin::LoopbackServer>(worker(id, n == 1)));
        store.put(absl::StrCat("servers/", id), registration("orders-app", workers.back()->address(), 1, 1, 6));
    }
    Deployment deployment(record, std::vector<std::string>(3, store.address()));
    deployment.startAll();
    if (!deployment.awaitReady(10s)) {
        record.line("the instances were not ready in time");
        return couldNotRun;
    }
    std::this_thread::sleep_for(contactTime);
    isFailing = hasTrouble();
    int broken = 0, answered = 0;
    for (int n = 0; n < bookings; ++n) {
        auto& instance = *deployment.instances[static_cast<std::size_t>(n) % deployment.instances.size()];
        auto id = absl::StrCat("booking-", n);
        auto connection = connectTo(instance.ip(), instance.entryPort());
        if (!connection)
            return couldNotRun;
        record.line(absl::StrCat("sent ", id, " to ", instance.name()));
        connection->write(absl::StrCat("POST /charge/", n, " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", id, "\r\nX-Deadline-Ms: 1500\r\nApi-Key: key-1\r\nContent-Length: 4\r\n\r\nbook"));
        auto status = statusOf(connection->readResponse(2s));
        int ran = 0;
        {
            std::lock_guard lock(mutex);
            ran = runs[id];
        }
        answered += status == 200;
        bool isBroken = meansNotRun(status) && ran > 0;
        broken += isBroken;
        record.line(absl::StrCat(id, " is answered ", status, ", runs ", ran, isBroken ? ": BROKEN" : ""));
        std::this_thread::sleep_for(bookingPeriod);
    }
    record.line(absl::StrCat("bookings ", bookings, ", answered 200 ", answered, ", failed by the worker ", failures.load(), ", ran and were answered as not run ", broken));
    store.cutWatches();
    if (answered == 0)
        return couldNotRun;
    return broken > 0 ? ruleBroken : ruleHeld;
}
