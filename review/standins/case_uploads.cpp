// Many callers come at once, each with a long body that the configuration allows, and the instance's memory grows over the limit of its
// machine. The case plays the platform, which kills such a process and starts it again.
//
// case_uploads RECORD

#include "site.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <csignal>
#include <map>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;
using skylarkhitch::standin::FleetStore;
using skylarkhitch::standin::LoopbackListener;

namespace {

// Of a machine of the site, and of the site's configuration.
constexpr std::int64_t memoryLimitBytes = std::int64_t { 110 } << 20;
constexpr std::size_t maxBodyBytes = 4194304, uploadBytes = 4'190'000;
// Callers at each instance: usually, and while many come at once (2.29 times as many).
constexpr int usualCallers = 14, burstCallers = 32, instances = 2, rounds = 3, slots = 6;
// Callers at each instance that send short bookings all the time, and their pause after each.
constexpr int steadyCallers = 12;
constexpr auto restartDelay = 500ms, work = 30ms, steadyPause = 50ms, roundPause = 1200ms;
// More lost requests than this break the rule; so do this many ends of processes on each of two machines.
constexpr int maxLost = 3, maxEnds = 2;

// The ids of the requests that reached an upstream whole.
class Arrivals {
public:
    void add(const std::string& id)
    {
        std::lock_guard lock(m_mutex);
        m_ids.insert(id);
    }
    bool contains(const std::string& id)
    {
        std::lock_guard lock(m_mutex);
        return m_ids.contains(id);
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_ids;
};

// An upstream that reads each request, works on a few at a time, and answers.
class Upstream {
public:
    Upstream(std::string id, Arrivals& arrivals)
        : m_id(std::move(id))
        , m_arrivals(arrivals)
        , m_listener([this](int fd) { serve(fd); })
    {
    }
    int port() const { return m_listener.port(); }
    const std::string& id() const { return m_id; }

private:
    void serve(int fd)
    {
        std::string input, head;
        std::vector<char> buf(65536);
        while (readHead(fd, input, head)) {
            std::size_t length = 0;
            static_cast<void>(absl::SimpleAtoi(headField(head, "Content-Length"), &length));
            bool isOpen = true;
            for (auto received = input.size(); isOpen && received < length;) {
                auto n = ::recv(fd, buf.data(), buf.size(), 0);
                isOpen = n > 0;
                received += isOpen ? static_cast<std::size_t>(n) : 0;
            }
            input.clear();
            if (!isOpen)
                break;
            m_arrivals.add(headField(head, "X-Attempt-Id"));
            {
                std::unique_lock lock(m_mutex);
                m_freed.wait(lock, [&] { return m_running < slots; });
                ++m_running;
            }
            std::this_thread::sleep_for(work);
            {
                std::lock_guard lock(m_mutex);
                --m_running;
            }
            m_freed.notify_one();
            sendAll(fd, absl::StrCat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", headField(head, "X-Attempt-Id"), "\r\nX-Server-Seal: seal-", m_id, "\r\nX-Server-Load: 1,0,6\r\nKeep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\nhello"));
        }
        ::close(fd);
    }

    std::string m_id;
    Arrivals& m_arrivals;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    int m_running = 0;
    LoopbackListener m_listener;
};

// An instance, and the platform that watches its memory.
class Machine {
public:
    Machine(int number, FleetStore& store)
        : m_entry(absl::StrCat("edge-halle-a-", number), "halle-a", store.address(), freePorts(5), {})
    {
        m_entry.start();
        m_watch = std::thread([this] { watch(); });
    }
    ~Machine()
    {
        m_isEnding = true;
        m_watch.join();
    }
    Entry& entry() { return m_entry; }
    int kills() const { return m_kills; }
    std::int64_t peakBytes() const { return m_peakBytes; }

private:
    void watch()
    {
        while (!m_isEnding) {
            auto resident = m_entry.process().residentBytes();
            m_peakBytes = std::max(m_peakBytes.load(), resident);
            if (resident > memoryLimitBytes) {
                record(absl::StrCat("platform: ", m_entry.name(), " has ", resident >> 20, " MB and is killed"));
                m_entry.process().kill();
                ++m_kills;
                std::this_thread::sleep_for(restartDelay);
                m_entry.start();
            }
            std::this_thread::sleep_for(2ms);
        }
    }

    Entry m_entry;
    std::atomic<bool> m_isEnding = false;
    std::atomic<int> m_kills = 0;
    std::atomic<std::int64_t> m_peakBytes = 0;
    std::thread m_watch;
};

std::string configuration()
{
    nlohmann::json route { { "name", "booking" }, { "hostname", "a.example" }, { "prefix", "/booking/" }, { "routeType", "non_idempotent" }, { "backend", "orders" }, { "maxAttempts", 1 }, { "timeoutMs", 1500 }, { "targetLatencyMs", 150 }, { "priority", 2 } };
    return nlohmann::json { { "version", 3 }, { "routes", { route } }, { "backends", { { { "name", "orders" }, { "healthPath", "/healthz" }, { "maxConnections", 110 } } } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", maxBodyBytes }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", { { { "name", "design" }, { "apiKeys", { "key-1" } } } } } }
        .dump();
}

// A booking with a long body: with a length, or in chunks.
bool sendUpload(const Client& client, const std::string& id, bool isChunked)
{
    constexpr std::size_t chunkBytes = 65536;
    if (!isChunked)
        return client.send(requestBytes("POST", "/booking/slots", id, "", std::string(uploadBytes, 'x'), 1500ms));
    bool isSent = client.send(absl::StrCat("POST /booking/slots HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", id, "\r\nX-Deadline-Ms: 1500\r\nApi-Key: key-1\r\nTransfer-Encoding: chunked\r\n\r\n"));
    const std::string chunk(chunkBytes, 'x');
    for (std::size_t sent = 0; isSent && sent + chunkBytes <= uploadBytes; sent += chunkBytes)
        isSent = client.send(absl::StrCat(absl::Hex(chunkBytes), "\r\n", chunk, "\r\n"));
    return isSent && client.send("0\r\n\r\n");
}

struct Counts {
    std::atomic<int> answered = 0, failed = 0, unansweredNotPassedOn = 0, lost = 0;
};

// Records how a request on a kept channel ended.
void judge(const std::string& name, const Answer& answer, Arrivals& arrivals, Counts& counts, bool isShort)
{
    if (answer.isComplete) {
        ++(answer.status == 200 ? counts.answered : counts.failed);
        if (!isShort || answer.status != 200)
            record(absl::StrCat("client: ", name, " got status ", answer.status));
        return;
    }
    bool isPassedOn = arrivals.contains(name);
    ++(isPassedOn ? counts.lost : counts.unansweredNotPassedOn);
    record(absl::StrCat("client: ", name, " on a kept channel: the channel ended without an answer; the request ", isPassedOn ? "had" : "had not", " reached an upstream whole"));
}

// Sends short bookings on one channel until the end, and opens another one if it is closed.
void callSteadily(int port, const std::string& name, const std::atomic<bool>& isEnding, Arrivals& arrivals, Counts& counts)
{
    int number = 0;
    while (!isEnding) {
        Client client(port);
        for (bool isOpen = client.isOpen(), isKept = false; isOpen && !isEnding; isKept = true) {
            auto id = absl::StrCat(name, "-", ++number);
            isOpen = client.send(requestBytes("POST", "/booking/slots", id, "", "short", 1500ms));
            auto answer = client.read(3s);
            if (isKept)
                judge(id, answer, arrivals, counts, true);
            isOpen = isOpen && answer.isComplete;
            std::this_thread::sleep_for(steadyPause);
        }
        std::this_thread::sleep_for(steadyPause);
    }
}

// Sends one short booking, so that the channel is a kept one, and then an upload.
void call(int port, const std::string& name, bool isChunked, Arrivals& arrivals, Counts& counts)
{
    Client client(port);
    if (!client.isOpen() || !client.send(requestBytes("POST", "/booking/slots", name + "-first", "", "short", 1500ms)) || client.read(3s).status == 0)
        return;
    sendUpload(client, name, isChunked);
    judge(name, client.read(4s), arrivals, counts, false);
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2)
        return notRun;
    openRecord(argv[1]);
    FleetStore store;
    store.put("op/config", configuration());
    Arrivals arrivals;
    std::list<Upstream> upstreams;
    for (int n = 0; n < 3; ++n) {
        upstreams.emplace_back(absl::StrCat("w-", n), arrivals);
        store.put("servers/" + upstreams.back().id(), registration("orders", upstreams.back().port(), 1, slots));
    }
    std::list<Machine> machines;
    for (int n = 1; n <= instances; ++n)
        machines.emplace_back(n, store);
    for (auto& it : machines) {
        if (!waitUntil(5s, [&] { return it.entry().isReady(); })) {
            record("an instance is not ready");
            return notRun;
        }
    }
    Counts counts, steady;
    std::atomic<bool> isEnding = false;
    std::vector<std::thread> steadyThreads;
    for (auto& it : machines) {
        for (int n = 0; n < steadyCallers; ++n)
            steadyThreads.emplace_back([&, port = it.entry().port(), name = absl::StrCat("short-", steadyThreads.size())] { callSteadily(port, name, isEnding, arrivals, steady); });
    }
    std::this_thread::sleep_for(1s);
    const int callers = hasTrouble() ? burstCallers : usualCallers;
    for (int round = 0; round < rounds; ++round) {
        record(absl::StrCat(callers, " callers at each instance send a body of ", uploadBytes, " bytes each"));
        std::vector<std::thread> threads;
        int number = 0;
        for (auto& it : machines) {
            for (int n = 0; n < callers; ++n, ++number)
                threads.emplace_back([&, round, number, port = it.entry().port()] { call(port, absl::StrCat("booking-", round, "-", number), number % 2 == 1, arrivals, counts); });
        }
        for (auto& it : threads)
            it.join();
        std::this_thread::sleep_for(roundPause);
    }
    isEnding = true;
    for (auto& it : steadyThreads)
        it.join();
    int ended = 0;
    for (auto& it : machines) {
        record(absl::StrCat(it.entry().name(), ": peak memory ", it.peakBytes() >> 20, " MB of ", memoryLimitBytes >> 20, " MB, killed ", it.kills(), " times"));
        ended += it.kills() > maxEnds ? 1 : 0;
    }
    auto write = [](const std::string& name, const Counts& it) { record(absl::StrCat(name, ": answered ", it.answered.load(), ", failed ", it.failed.load(), ", without an answer and not passed on ", it.unansweredNotPassedOn.load(), ", LOST ", it.lost.load())); };
    write("uploads", counts);
    write("short bookings of other callers", steady);
    bool isLost = counts.lost + steady.lost > maxLost, isFault = ended >= 2;
    record(absl::StrCat("LOST ", isLost ? "broken" : "held", ", Fault ", isFault ? "broken" : "held"));
    return isLost || isFault ? broken : held;
}
