// A caller sends requests over two new documents, P and Q, on a route whose streams may not be resumed. Q crashes the engines.
//
// Rule TWICE: a request that isn't idempotent runs once. On an engine it starts to run with its first token.

#include "site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

using namespace review;

namespace {

const std::string fatalPart = "dead0dead0", soundPart = "50a4d50a4d";
constexpr int engineCount = 9, rounds = 4;
// An event holds six tokens of 50 ms each, so the first event comes some time after the first token.
constexpr auto timeToFirstToken = 100ms, eventTime = 300ms, restartTime = 2500ms;

struct Runs {
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> engines;
};

class Engine {
public:
    Engine(FleetStore& store, Record& record, Runs& runs, std::string id)
        : m_store(store)
        , m_record(record)
        , m_runs(runs)
        , m_upstream(std::move(id), [this](const RawRequest& request, RawConnection& connection, std::int64_t process) { return serve(request, connection, process); })
    {
        enter();
    }

    void restartIfDue()
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_upstream.isRunning(m_upstream.process()) || Clock::now() < m_crashedAt + restartTime)
                return;
        }
        m_upstream.restart();
        enter();
        m_record.line(m_upstream.id() + " is back");
    }

private:
    void enter() { m_store.put("servers/" + m_upstream.id(), registration(m_upstream.address(), "assist", 1, "ready", m_upstream.process())); }

    bool serve(const RawRequest& request, RawConnection& connection, std::int64_t process)
    {
        auto id = request.field("X-Attempt-Id");
        bool isLetter = absl::StartsWith(request.target, "/letter/");
        if (connection.isClosedWithin(timeToFirstToken) || !m_upstream.isRunning(process))
            return false;
        if (isLetter) {
            std::lock_guard lock(m_runs.mutex);
            m_runs.engines[id].push_back(m_upstream.id());
            m_record.line(absl::StrCat("engine ", m_upstream.id(), " runs ", id));
        }
        if (absl::StrContains(request.field("X-Prefix-Hash"), fatalPart)) {
            std::lock_guard lock(m_mutex);
            if (m_upstream.crash(process)) {
                m_crashedAt = Clock::now();
                m_record.line(absl::StrCat("engine ", m_upstream.id(), " crashed on ", id));
            }
            return false;
        }
        if (connection.isClosedWithin(eventTime)) {
            if (isLetter)
                m_record.line(absl::StrCat("engine ", m_upstream.id(), " stops ", id, ", whose connection was closed"));
            return false;
        }
        skylarkhitch::standin::StreamOptions options;
        options.isRunning = [&] { return m_upstream.isRunning(process); };
        return skylarkhitch::standin::streamEvents(5, eventTime, options)(request, connection);
    }

    FleetStore& m_store;
    Record& m_record;
    Runs& m_runs;
    std::mutex m_mutex;
    Clock::time_point m_crashedAt {};
    CrashableUpstream m_upstream;
};

}

int main(int argc, char** argv)
{
    if (argc < 2)
        return couldNotRun;
    constexpr int instanceCount = 3;
    Record record(argv[1]);
    TemporaryFolder folder;
    FleetStore store;
    Runs runs;
    store.put("op/config", configuration(3).dump());
    std::deque<Engine> engines;
    for (int n = 1; n <= engineCount; ++n)
        engines.emplace_back(store, record, runs, absl::StrCat("i-", n));
    std::deque<Instance> instances;
    for (int n = 1; n <= instanceCount; ++n)
        instances.emplace_back(folder, absl::StrCat("edge-", n), absl::StrCat("127.0.0.", 10 + n), InstanceSettings { store.address(), absl::StrCat("127.0.0.11:", ports().peer) });
    for (auto& it : instances) {
        if (!it.awaitReady(10s))
            return couldNotRun;
    }
    std::this_thread::sleep_for(1500ms);

    std::atomic<bool> isOver = false;
    std::atomic<int> ids = 0;
    auto send = [&](std::size_t instance, const std::string& route, const std::string& id, const std::string& parts) {
        auto connection = instances[instance % instances.size()].connect();
        if (!connection)
            return std::string();
        connection->write(requestBytes("POST", absl::StrCat("/", route, "/", id), id, 20000ms, absl::StrCat("X-Model-Name: m1\r\nX-Token-Count: 1600,60\r\nX-Prefix-Hash: ", parts, "\r\n"), "prompt " + id));
        return connection->readResponse(20s);
    };
    std::vector<std::thread> threads;
    for (std::size_t caller = 0; caller < 3; ++caller) {
        threads.emplace_back([&, caller] {
            while (!isOver) {
                int n = ++ids;
                send(caller, "draft", absl::StrCat("draft-", n), absl::StrCat("f00d:300,5ab", n % 20, ":100,e", n, ":1000"));
                std::this_thread::sleep_for(100ms);
            }
        });
    }
    threads.emplace_back([&] {
        while (!isOver) {
            for (auto& it : engines)
                it.restartIfDue();
            std::this_thread::sleep_for(20ms);
        }
    });
    std::this_thread::sleep_for(1s);

    std::vector<std::thread> letters;
    auto sendLetter = [&](std::size_t instance, const std::string& name, const std::vector<std::string>& documents) {
        letters.emplace_back([&, instance, name, documents] {
            int n = ++ids;
            auto id = absl::StrCat(name, "-", n);
            std::string parts = "f00d:300";
            for (const auto& it : documents)
                absl::StrAppend(&parts, ",", it, ":100");
            record.line("sent " + id);
            auto response = send(instance, "letter", id, absl::StrCat(parts, ",9", n, ":100,e", n, ":1000"));
            record.line(absl::StrCat(id, " answered ", statusOf(response), isWholeStream(response) ? " whole" : ""));
        });
    };
    // The documents of each round are new ones, so that nothing is known of them. Two requests over both come one after the other, and then
    // a batch: one over both, one over Q and one over P, 10 ms apart.
    for (int round = 0; round < rounds; ++round) {
        auto p = absl::StrCat(soundPart, round), q = hasTrouble() ? absl::StrCat(fatalPart, round) : absl::StrCat("600d600d", round);
        for (int n = 0; n < 2; ++n) {
            sendLetter(0, "both", { p, q });
            std::this_thread::sleep_for(600ms);
        }
        sendLetter(0, "both", { p, q });
        std::this_thread::sleep_for(10ms);
        sendLetter(0, "second", { q });
        std::this_thread::sleep_for(10ms);
        sendLetter(0, "first", { p });
        std::this_thread::sleep_for(3500ms);
    }
    for (auto& it : letters)
        it.join();
    isOver = true;
    for (auto& it : threads)
        it.join();
    for (auto& it : instances) {
        if (it.hasEnded())
            return couldNotRun;
    }
    std::size_t twice = 0;
    for (const auto& [id, where] : runs.engines) {
        if (where.size() < 2)
            continue;
        ++twice;
        record.line(absl::StrCat(id, " ran ", where.size(), " times, first on ", where[0], ", then on ", where[1]));
    }
    record.line(absl::StrCat(runs.engines.size(), " requests of the route ran; ", twice, " of them more than once; allowed 0"));
    return twice > 0 ? broken : held;
}
