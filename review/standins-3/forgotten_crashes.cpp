// A booking that crashes each worker that begins to run it comes again and again, at any entry instance, beside sound requests. After
// it is known, all instances are killed at once and started again, twice. Checks how often it reaches workers then, sent by instances in
// touch.

#include "site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <atomic>
#include <set>
#include <thread>

using namespace review;

namespace {

constexpr int workers = 9, instanceCount = 3;
constexpr std::chrono::milliseconds timeToCrash = 20ms, workerDownTime = 3s, workTime = 15ms;
// As `down_s` of the site's days, at most.
constexpr auto downTime = 1s;
// At first it comes fast, so that it has crashed three workers before the instances have told each other.
constexpr std::chrono::milliseconds firstPeriod = 20ms, laterPeriod = 400ms;
constexpr int repeats = 8, kills = 2;
constexpr std::size_t allowedRetries = 3;

// A worker process, which crashes when it begins to run the crashing request: all its connections are reset, and it is back as another
// process after some seconds.
class Worker {
public:
    Worker(FleetStore& store, int number, Record& record)
        : m_store(store)
        , m_id(absl::StrCat("i-", number))
        , m_record(record)
        , m_server([this](const RawRequest& request, RawConnection& connection) { return serve(request, connection); })
    {
        enlist();
    }

    // Starts the worker again if it has been down for long enough.
    void restartIfDue()
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_isRunning || Clock::now() < m_crashedAt + workerDownTime)
                return;
            m_isRunning = true;
            ++m_born;
        }
        enlist();
    }

    static inline std::mutex arrivalsMutex;
    // When the crashing request reached a worker, by the id of the consumer attempt, and when it crashed one.
    static inline std::vector<std::pair<Clock::time_point, std::string>> arrivals;
    static inline std::vector<Clock::time_point> crashes;
    // Sound requests that were at work on a worker when it crashed.
    static inline std::atomic<int> soundLost = 0;

private:
    void enlist() { m_store.put("servers/" + m_id, registration("orders-app", m_server.address(), m_born, 1, 6)); }

    bool serve(const RawRequest& request, RawConnection& connection)
    {
        bool isCrashing = absl::EndsWith(request.target, "/crash");
        std::unique_lock lock(m_mutex);
        auto born = m_born;
        auto runs = [&] { return m_isRunning && m_born == born; };
        if (!m_isRunning) {
            connection.reset();
            return false;
        }
        lock.unlock();
        if (isCrashing) {
            std::lock_guard guard(arrivalsMutex);
            arrivals.emplace_back(Clock::now(), request.field("X-Attempt-Id"));
            m_record.line(absl::StrCat(m_id, " is reached by the crashing request, arrival ", arrivals.size()));
        }
        std::this_thread::sleep_for(isCrashing ? timeToCrash : workTime);
        lock.lock();
        if (isCrashing && runs()) {
            m_isRunning = false;
            m_crashedAt = Clock::now();
            std::lock_guard guard(arrivalsMutex);
            crashes.push_back(m_crashedAt);
            m_record.line(absl::StrCat(m_id, " crashes, crash ", crashes.size()));
        }
        if (!runs()) {
            soundLost += isCrashing ? 0 : 1;
            connection.reset();
            return false;
        }
        lock.unlock();
        return connection.write(answerTo(request, 200, "fine"));
    }

    FleetStore& m_store;
    std::string m_id;
    Record& m_record;
    std::mutex m_mutex;
    std::int64_t m_born = 1;
    bool m_isRunning = true;
    Clock::time_point m_crashedAt {};
    skylarkhitch::standin::LoopbackServer m_server;
};

// Sends a request on a new connection and returns the status of its answer, or 0 if there is none.
int send(const Instance& instance, const std::string& target, const std::string& id)
{
    auto connection = connectTo(instance.ip(), instance.entryPort());
    if (!connection)
        return 0;
    connection->write(absl::StrCat("POST ", target, " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", id, "\r\nX-Deadline-Ms: 1500\r\nApi-Key: key-1\r\nContent-Length: 4\r\n\r\nbook"));
    return statusOf(connection->readResponse(2s));
}

}

int main(int, char** argv)
{
    Record record(argv[1]);
    FleetStore store;
    store.put("op/config", configuration(3, nlohmann::json::array({ route("charge", "non_idempotent", "orders-app", 800, 100) })));
    std::vector<std::unique_ptr<Worker>> all;
    for (int n = 0; n < workers; ++n)
        all.push_back(std::make_unique<Worker>(store, n, record));
    Deployment deployment(record, std::vector<std::string>(instanceCount, store.address()));
    deployment.startAll();
    auto& instances = deployment.instances;
    if (!deployment.awaitReady(10s))
        return couldNotRun;
    std::atomic<bool> isOver = false;
    std::atomic<int> soundServed = 0;
    std::thread restarts([&] {
        while (!isOver) {
            for (auto& it : all)
                it->restartIfDue();
            std::this_thread::sleep_for(50ms);
        }
    });
    std::thread soundCaller([&] {
        for (int n = 0; !isOver; ++n) {
            soundServed += send(*instances[static_cast<std::size_t>(n % instanceCount)], absl::StrCat("/charge/", n), absl::StrCat("sound-", n)) == 200;
            std::this_thread::sleep_for(20ms);
        }
    });
    // The crashing request comes again, at each instance in turn.
    auto sendCrashing = [&](const std::string& phase, std::chrono::milliseconds period) {
        std::vector<std::thread> callers;
        for (int n = 0; n < repeats; ++n) {
            callers.emplace_back([&, n] {
                auto& instance = *instances[static_cast<std::size_t>(n % instanceCount)];
                auto id = absl::StrCat(phase, "-", n);
                record.line(absl::StrCat("the crashing request ", id, " is sent to ", instance.name()));
                auto status = send(instance, "/charge/crash", id);
                record.line(absl::StrCat(id, " is answered ", status));
            });
            std::this_thread::sleep_for(period);
        }
        for (auto& it : callers)
            it.join();
    };
    std::this_thread::sleep_for(contactTime);
    sendCrashing("first", firstPeriod);
    Clock::time_point third {};
    {
        std::lock_guard guard(Worker::arrivalsMutex);
        if (Worker::crashes.size() >= 3)
            third = Worker::crashes[2];
    }
    std::this_thread::sleep_for(contactTime + 500ms);
    bool isReady = true;
    // When a phase began in which all instances were in touch, and when it ended.
    std::vector<std::pair<Clock::time_point, Clock::time_point>> phases;
    for (int n = 0; n < kills; ++n) {
        if (hasTrouble()) {
            for (auto& it : instances)
                it->kill();
            std::this_thread::sleep_for(downTime);
            for (auto& it : instances)
                it->start();
        }
        isReady = deployment.awaitReady(10s) && isReady;
        // All instances are in touch after this.
        std::this_thread::sleep_for(contactTime + 500ms);
        auto begunAt = Clock::now();
        sendCrashing(absl::StrCat("later-", n), laterPeriod);
        phases.emplace_back(begunAt, Clock::now());
    }
    std::this_thread::sleep_for(500ms);
    isOver = true;
    restarts.join();
    soundCaller.join();
    std::lock_guard guard(Worker::arrivalsMutex);
    std::set<std::string> retries;
    for (const auto& [at, id] : Worker::arrivals) {
        if (std::any_of(phases.begin(), phases.end(), [&at = at](const auto& it) { return at >= it.first && at <= it.second; }))
            retries.insert(id);
    }
    record.line(absl::StrCat("crashes ", Worker::crashes.size(), ", later retries that reached workers ", retries.size(), ", allowed ", allowedRetries, ", sound requests served ", soundServed.load(), ", sound requests at work at a crash ", Worker::soundLost.load()));
    bool isRun = isReady && third != Clock::time_point {} && phases.front().first > third + contactTime && soundServed > 100;
    store.cutWatches();
    if (!isRun)
        return couldNotRun;
    return retries.size() > allowedRetries ? ruleBroken : ruleHeld;
}
