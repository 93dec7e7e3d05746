// A planned stop. Meanwhile the upstream of streams that have begun is silent for a second or so and goes on; the only other upstream is
// full.
//
// case_silent_worker RECORD

#include "site.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <csignal>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;
using skylarkhitch::standin::FleetStore;
using skylarkhitch::standin::LoopbackListener;

namespace {

// Of the site's sheet: the time limit of its shortest streams and the pauses that it allows.
constexpr auto timeLimit = 5000ms, gapAim = 600ms;
// The stream: a pause before each event, one longer pause before the last two, and all of it over within the time limit.
constexpr int events = 8, silentBefore = 7;
constexpr auto pause = 450ms, silence = 1300ms;
constexpr int streams = 4, rounds = 3, slots = 32;
constexpr auto grace = 8000ms, beforeStop = 500ms;

std::string eventOf(const std::string& id, int number) { return absl::StrCat("id: ", number, "\ndata: part ", number, " of ", events, " for ", id, "\n\n"); }

std::string chunk(const std::string& bytes) { return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n"); }

// Reads the head and the body of a request. Returns false if the channel ends.
bool readRequest(int fd, std::string& input, std::string& head)
{
    if (!readHead(fd, input, head))
        return false;
    std::size_t length = 0;
    static_cast<void>(absl::SimpleAtoi(headField(head, "Content-Length"), &length));
    char buf[16384];
    while (input.size() < length) {
        auto n = ::recv(fd, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        input.append(buf, static_cast<std::size_t>(n));
    }
    input.erase(0, length);
    return true;
}

// Whether the other side ends the channel within the time.
bool isClosedWithin(int fd, std::chrono::milliseconds time)
{
    timeval limit { time.count() / 1000, (time.count() % 1000) * 1000 };
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    char byte = 0;
    auto n = ::recv(fd, &byte, 1, MSG_PEEK);
    bool isClosed = n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    limit = {};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    return isClosed;
}

// A sound upstream that streams events, as one process works: all its streams are silent at the same time of theirs.
void serveStreams(int fd)
{
    std::string input, head;
    while (readRequest(fd, input, head)) {
        auto id = headField(head, "X-Attempt-Id");
        int after = 0;
        static_cast<void>(absl::SimpleAtoi(headField(head, "Last-Event-Id"), &after));
        sendAll(fd, absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal-w-0\r\nX-Server-Load: 4,0,32\r\nX-Weight-Versions: 1\r\nX-Confidence: 95\r\n\r\n"));
        record(absl::StrCat("w-0: runs ", id, " from event ", after + 1, " on"));
        bool isClosed = false;
        for (int n = after + 1; n <= events && !isClosed; ++n) {
            isClosed = isClosedWithin(fd, hasTrouble() && n == silentBefore ? silence : pause) || !sendAll(fd, chunk(eventOf(id, n)));
            if (isClosed)
                record(absl::StrCat("w-0: the channel of ", id, " was closed before event ", n, " of ", events));
        }
        if (isClosed)
            break;
        sendAll(fd, "0\r\n\r\n");
        record(absl::StrCat("w-0: has sent the whole of ", id));
    }
    ::close(fd);
}

// An upstream whose places are taken.
void refuse(int fd)
{
    std::string input, head;
    while (readRequest(fd, input, head)) {
        auto id = headField(head, "X-Attempt-Id");
        record(absl::StrCat("w-1: is full and turns ", id, " away"));
        sendAll(fd, absl::StrCat("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: ", id, "\r\nX-Not-Executed: 1\r\nX-Server-Load: 32,96,32\r\nContent-Length: 0\r\n\r\n"));
    }
    ::close(fd);
}

std::string configuration()
{
    nlohmann::json route { { "name", "bundle-tag" }, { "hostname", "a.example" }, { "prefix", "/tag/" }, { "routeType", "streaming" }, { "streamResume", true }, { "backend", "assist" }, { "maxAttempts", 3 }, { "timeoutMs", timeLimit.count() }, { "targetLatencyMs", 1500 }, { "gapAimMs", gapAim.count() }, { "priority", 1 }, { "sessionAffinity", true }, { "sizes", { "m0", "m1" } } };
    nlohmann::json engine { { "capacity", slots }, { "kvCapacity", 691759 }, { "stride", 5 }, { "models", { { { "name", "m0" }, { "cost", 0.021 } }, { { "name", "m1" }, { "cost", 0.16 } } } } };
    return nlohmann::json { { "version", 3 }, { "routes", { route } }, { "backends", { { { "name", "assist" }, { "healthPath", "/healthz" }, { "maxConnections", 370 }, { "engine", engine } } } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", { { { "name", "design" }, { "apiKeys", { "key-1" } } } } } }
        .dump();
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
    LoopbackListener sound(serveStreams), full(refuse);
    store.put("servers/w-0", registration("assist", sound.port(), 1, slots));
    store.put("servers/w-1", registration("assist", full.port(), 1, slots));
    Entry stopped("edge-delta-a-1", "delta-a", store.address(), freePorts(5), {}), other("edge-delta-a-2", "delta-a", store.address(), freePorts(5), {});
    other.start();
    int lost = 0, whole = 0;
    for (int round = 1; round <= rounds; ++round) {
        stopped.start();
        if (!waitUntil(5s, [&] { return stopped.isReady() && other.isReady(); })) {
            record("an instance is not ready");
            return notRun;
        }
        std::vector<std::thread> callers;
        std::mutex mutex;
        for (int n = 1; n <= streams; ++n) {
            callers.emplace_back([&, id = absl::StrCat("tag-", round, "-", n)] {
                Client client(stopped.port());
                client.send(requestBytes("POST", "/tag/bundles", id, "X-Model-Name: *\r\nX-Token-Count: 2368,25\r\n", "tag this bundle", timeLimit));
                auto start = Clock::now();
                auto answer = client.read(timeLimit + 1s);
                auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
                bool isWhole = answer.status == 200 && answer.isComplete && absl::StrContains(answer.body, absl::StrCat("part ", events, " of"));
                record(absl::StrCat("client: ", id, " got status ", answer.status, " and ", answer.isComplete ? "a complete answer" : answer.isClosed ? "a channel that ended without a complete answer"
                                                                                                                                                      : "no end",
                    " after ", ms, " of ", timeLimit.count(), " ms"));
                std::lock_guard lock(mutex);
                whole += isWhole ? 1 : 0;
                lost += !answer.isComplete && answer.isClosed && ms < timeLimit.count() ? 1 : 0;
            });
        }
        std::this_thread::sleep_for(beforeStop);
        record(absl::StrCat("platform: SIGTERM to ", stopped.name()));
        auto signalledAt = Clock::now();
        stopped.process().signal(SIGTERM);
        for (auto& it : callers)
            it.join();
        waitUntil(grace - std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - signalledAt), [&] { return !stopped.process().isRunning(); });
        stopped.process().kill();
    }
    record(absl::StrCat("streams that ended without a complete answer in a planned stop (LOST): ", lost, " of ", streams * rounds, ", whole: ", whole));
    if (!hasTrouble() && whole != streams * rounds)
        return broken;
    return lost > 0 ? broken : held;
}
