// An upstream begins to answer a call before it has read the whole of its long body, with an answer that has neither a length nor
// chunks, and crashes in the middle of both.
//
// case_early_answer RECORD; case_early_answer worker ID runs an upstream.

#include "site.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <csignal>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;
using skylarkhitch::standin::FleetStore;

namespace {

// Within the site's maxBodyBytes, 4,194,304.
constexpr std::size_t requestBodyBytes = 4'190'000;
constexpr int rounds = 3, workers = 4;
constexpr auto callerTimeout = 1500ms;

// The upstream's whole answer to a call.
std::string wholeBody(const std::string& id)
{
    std::string body = absl::StrCat(R"({"call":")", id, R"(","looms":")");
    while (body.size() < 795)
        body += '.';
    return body + "\"}\n";
}

void serve(int fd, const std::string& self)
{
    std::string input, head;
    if (!readHead(fd, input, head))
        return;
    auto id = headField(head, "X-Attempt-Id");
    if (headField(head, "X-Expect-Instance") != self) {
        sendAll(fd, absl::StrCat("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: ", id, "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
        ::close(fd);
        return;
    }
    std::size_t length = 0, received = input.size();
    static_cast<void>(absl::SimpleAtoi(headField(head, "Content-Length"), &length));
    say(absl::StrCat("#runs ", id, ", has read ", received, " of ", length, " bytes"));
    auto body = wholeBody(id);
    sendAll(fd, absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal-", self, "\r\nX-Server-Load: 1,0,6\r\nConnection: close\r\n\r\n", body.substr(0, body.size() / 2)));
    say(absl::StrCat("#has sent the first ", body.size() / 2, " of ", body.size(), " bytes of the answer to ", id));
    // Goes on reading a little later.
    std::this_thread::sleep_for(250ms);
    std::vector<char> buf(65536);
    while (received < length) {
        auto n = ::recv(fd, buf.data(), buf.size(), 0);
        if (n <= 0) {
            say(absl::StrCat("#the connection of ", id, " ended after ", received, " bytes"));
            ::close(fd);
            return;
        }
        received += static_cast<std::size_t>(n);
    }
    sendAll(fd, body.substr(body.size() / 2));
    ::shutdown(fd, SHUT_WR);
    while (::recv(fd, buf.data(), buf.size(), 0) > 0) { }
    ::close(fd);
    say(absl::StrCat("#has sent the whole answer to ", id));
}

// Accepts connections with the segment size of an Ethernet, as the links between machines have, not that of the loopback interface.
int runWorker(const std::string& self)
{
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), segmentBytes = 1448;
    ::setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    auto address = skylarkhitch::standin::loopbackAddress(0);
    socklen_t size = sizeof address;
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(listener, 64) != 0)
        return notRun;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    say(absl::StrCat("port ", ntohs(address.sin_port)));
    for (;;) {
        int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0)
            std::thread([fd, self] { serve(fd, self); }).detach();
    }
}

struct Worker {
    std::string id;
    std::unique_ptr<Process> process;
    int port = 0;
};

Worker startWorker(const std::string& program, const std::string& id, FleetStore& store)
{
    Worker worker { id, std::make_unique<Process>(std::vector<std::string> { program, "worker", id }, id), 0 };
    if (!worker.process->awaitLine("port ", 5s))
        std::exit(notRun);
    worker.port = std::atoi(worker.process->linesWith("port ").front().c_str() + 5);
    store.put("servers/" + id, registration("orders", worker.port, std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()));
    return worker;
}

std::string configuration()
{
    nlohmann::json route { { "name", "booking" }, { "hostname", "a.example" }, { "prefix", "/booking/" }, { "routeType", "non_idempotent" }, { "backend", "orders" }, { "maxAttempts", 1 }, { "timeoutMs", 1500 }, { "targetLatencyMs", 150 }, { "priority", 2 } };
    return nlohmann::json { { "version", 3 }, { "routes", { route } }, { "backends", { { { "name", "orders" }, { "healthPath", "/healthz" }, { "maxConnections", 110 } } } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", { { { "name", "design" }, { "apiKeys", { "key-1" } } } } } }
        .dump();
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc == 3 && std::string(argv[1]) == "worker")
        return runWorker(argv[2]);
    if (argc != 2)
        return notRun;
    openRecord(argv[1]);
    FleetStore store;
    store.put("op/config", configuration());
    std::vector<Worker> site;
    for (int n = 0; n < workers; ++n)
        site.push_back(startWorker(argv[0], absl::StrCat("w-", n), store));
    Entry entry("edge-halle-a-1", "halle-a", store.address(), freePorts(5), {});
    entry.start();
    if (!waitUntil(5s, [&] { return entry.isReady(); })) {
        record("the instance is not ready");
        return notRun;
    }
    int violations = 0, answered = 0;
    for (int round = 1; round <= rounds; ++round) {
        auto id = absl::StrCat("booking-", round);
        Client client(entry.port());
        record(absl::StrCat("client: sends ", id, " with a body of ", requestBodyBytes, " bytes"));
        std::thread sender([&] { client.send(requestBytes("POST", "/booking/slots", id, "", std::string(requestBodyBytes, static_cast<char>('a' + round)), callerTimeout)); });
        std::thread crash([&] {
            Worker* running = nullptr;
            waitUntil(2s, [&] {
                for (auto& it : site) {
                    if (!it.process->linesWith(absl::StrCat("bytes of the answer to ", id)).empty())
                        running = &it;
                }
                return running != nullptr;
            });
            if (!running || !hasTrouble())
                return;
            std::this_thread::sleep_for(100ms);
            running->process->kill();
            record(absl::StrCat(running->id, ": killed"));
        });
        auto answer = client.read(5s);
        sender.join();
        crash.join();
        auto whole = wholeBody(id);
        record(absl::StrCat("client: ", id, " got status ", answer.status, ", Content-Length ", answer.field("Content-Length"), ", X-Server-Seal ", answer.field("X-Server-Seal"), ", ", answer.body.size(), " of ", whole.size(), " bytes of the worker's body, ", answer.isComplete ? "complete by its framing" : "not complete"));
        bool isSuccess = answer.status >= 200 && answer.status < 300 && answer.isComplete;
        answered += isSuccess && answer.body == whole ? 1 : 0;
        if (isSuccess && answer.body != whole) {
            ++violations;
            record(absl::StrCat("MIXED: ", id, " is a success whose body isn't the worker's whole body"));
        }
        // A crashed worker is back after some seconds, as another one.
        for (auto& it : site) {
            if (it.process->isRunning())
                continue;
            store.remove("servers/" + it.id);
            it = startWorker(argv[0], absl::StrCat(it.id, "-", round), store);
        }
        std::this_thread::sleep_for(3s);
    }
    record(absl::StrCat("truncated successes: ", violations, " of ", rounds, "; whole successes: ", answered));
    if (!hasTrouble() && answered != rounds)
        return broken;
    return violations > 0 ? broken : held;
}
