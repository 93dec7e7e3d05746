#include "soak/soak_site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <csignal>

namespace skylarkhitch::soak {

using namespace std::chrono_literals;
using namespace standin;

namespace {

    constexpr int streamEvents = 8;
    constexpr auto eventPause = 20ms;
    constexpr auto answerTime = 4s;
    // Cumulative probabilities that an upstream refuses a request, fails, aborts its response, or sends it twice.
    constexpr double refusedPart = 0.03, failedPart = 0.05, brokenPart = 0.08, doubledPart = 0.10;
    constexpr int mostWorkMs = 20;
    // Probability that a caller opens a new connection for a request.
    constexpr double newConnectionPart = 0.1;

    HeaderFields marks(const RawRequest& request)
    {
        return { { "X-Attempt-Id", request.field("X-Attempt-Id") }, { "X-Server-Seal", "seal-" + request.field("X-Attempt-Id") } };
    }

    std::string echoOf(const std::string& method, const std::string& target, const std::string& body)
    {
        return absl::StrCat(method, " ", target, " ", body);
    }

    std::string dechunked(std::string_view bytes)
    {
        std::string body;
        for (;;) {
            auto end = bytes.find("\r\n");
            if (end == std::string_view::npos)
                return body;
            auto n = std::strtoul(std::string(bytes.substr(0, end)).c_str(), nullptr, 16);
            if (n == 0 || bytes.size() < end + 2 + n)
                return body;
            body.append(bytes.substr(end + 2, n));
            bytes.remove_prefix(std::min(bytes.size(), end + 2 + n + 2));
        }
    }

    std::string eventText(const std::string& target, int n) { return absl::StrCat("id: ", n, "\ndata: ", target, " ", n, "\n\n"); }

    // Describes an error in the events of a stream that starts after event number `after`; empty if there is none.
    std::string streamDefect(const std::string& target, const std::string& body, int after, bool isWhole)
    {
        std::string expected;
        for (int n = after + 1; n <= streamEvents; ++n)
            expected += eventText(target, n);
        if (isWhole && body != expected)
            return absl::StrCat("the stream ended normally but its events are incomplete or wrong: ", body);
        return absl::StartsWith(expected, body) ? "" : absl::StrCat("stream events are missing, duplicated or out of order: ", body);
    }

}

SoakSite::SoakSite(std::uint64_t seed)
    : m_seed(seed)
    , m_random(seed)
{
    configure("key-1");
    for (const auto* id : { "i-1", "i-2", "i-3" })
        addUpstream(id, "orders", script(id, false));
    for (const auto* id : { "i-4", "i-5", "i-6" })
        addUpstream(id, "assist", script(id, true));
    std::string seeds;
    auto storePort = std::atoi(store.address().substr(store.address().rfind(':') + 1).c_str());
    for (std::size_t n = 0; n < instanceCount; ++n) {
        storeLinks.push_back(std::make_unique<FaultProxy>(storePort));
        instances.push_back(std::make_unique<EdgeInstance>(absl::StrCat("edge-", n + 1), storeLinks.back()->address(), seeds));
        seeds += absl::StrCat(seeds.empty() ? "" : ", ", instances.back()->peers());
    }
}

SoakSite::~SoakSite() { stopCallers(); }

void SoakSite::addUpstream(const std::string& id, const std::string& service, ScriptedUpstream::Script script)
{
    Upstream upstream { service, std::make_unique<ScriptedUpstream>(id, std::move(script)), nullptr };
    upstream.link = std::make_unique<FaultProxy>(upstream.server->port());
    enlist(upstream);
    upstreams.push_back(std::move(upstream));
}

void SoakSite::enlist(Upstream& upstream, const std::string& state)
{
    auto entry = nlohmann::json::parse(upstream.server->entry(upstream.service, state));
    entry["address"] = upstream.link->address();
    entry["born"] = upstream.born;
    store.put("servers/" + upstream.server->id(), entry.dump());
}

void SoakSite::configure(const std::string& key)
{
    {
        std::lock_guard lock(m_keyMutex);
        m_key = key;
    }
    store.put("op/config", sampleConfiguration(++m_version, key));
}

ScriptedUpstream::Script SoakSite::script(const std::string& id, bool isEngine)
{
    return [this, id, isEngine](const RawRequest& request, RawConnection& connection) {
        if (request.field("X-Expect-Instance") != id)
            return connection.write(answerBytes(421, "", { { "X-Instance-Id", id } }));
        double dice = 0;
        int workMs = 0;
        {
            std::lock_guard lock(m_randomMutex);
            dice = std::uniform_real_distribution<double>()(m_random);
            workMs = std::uniform_int_distribution<int>(0, mostWorkMs)(m_random);
        }
        if (dice < refusedPart)
            return connection.write(answerBytes(503, "", { { "X-Not-Executed", "1" } }));
        records.ran(request.field("X-Attempt-Id"));
        std::this_thread::sleep_for(std::chrono::milliseconds(workMs));
        return isEngine ? answerStream(request, connection, dice) : answerPlain(request, connection, dice);
    };
}

bool SoakSite::answerPlain(const RawRequest& request, RawConnection& connection, double dice)
{
    if (dice < failedPart)
        return connection.write(answerBytes(500, "failed", marks(request)));
    if (dice < brokenPart) {
        records.brokeOff(request.field("X-Attempt-Id"));
        connection.reset();
        return false;
    }
    auto bytes = answerBytes(200, echoOf(request.method, request.target, request.body), marks(request));
    return connection.write(dice < doubledPart ? bytes + bytes : bytes);
}

bool SoakSite::answerStream(const RawRequest& request, RawConnection& connection, double dice)
{
    auto after = std::atoi(request.field("Last-Event-Id").c_str());
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& it : marks(request))
        absl::StrAppend(&head, it.name, ": ", it.value, "\r\n");
    bool isSure = request.field("X-Model-Name") == "large" || dice > 0.5;
    if (!connection.write(absl::StrCat(head, "X-Confidence: ", isSure ? 90 : 10, "\r\n\r\n")))
        return false;
    for (int n = after + 1; n <= streamEvents; ++n) {
        auto event = eventText(request.target, n);
        bool breaks = dice < brokenPart && n == streamEvents / 2;
        if (breaks) {
            records.brokeOff(request.field("X-Attempt-Id"));
            event.resize(event.size() / 2);
        }
        if (!connection.write(absl::StrCat(absl::Hex(event.size()), "\r\n", event, "\r\n")) || breaks || connection.closesWithin(eventPause))
            return false;
    }
    return connection.write("0\r\n\r\n");
}

void SoakSite::startCallers()
{
    for (std::size_t n = 0; n < callerCount; ++n)
        m_callers.emplace_back([this, n] { call(m_seed * callerCount + n); });
}

void SoakSite::stopCallers()
{
    m_stopping = true;
    for (auto& it : m_callers)
        it.join();
    m_callers.clear();
}

// Runs one caller until the site stops. It keeps its connection until the other side closes it or a random choice replaces it,
// and then connects to a random instance. Some streams are requested from a later event on, as if resumed.
void SoakSite::call(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::unique_ptr<RawConnection> connection;
    std::size_t instance = 0;
    std::uniform_real_distribution<double> dice;
    while (!m_stopping) {
        if (!connection || !connection->isOpen() || dice(random) < newConnectionPart) {
            instance = std::uniform_int_distribution<std::size_t>(0, instanceCount - 1)(random);
            connection.reset();
        }
        auto kind = static_cast<Kind>(std::uniform_int_distribution<int>(0, 2)(random));
        auto outcome = ask(kind, connection, instance, random);
        // Waits before it connects to another instance, since it received no response.
        if (outcome.status == 0)
            std::this_thread::sleep_for(50ms);
    }
}

Outcome SoakSite::ask(Kind kind, std::unique_ptr<RawConnection>& connection, std::size_t instance, std::mt19937_64& random)
{
    Outcome outcome { absl::StrCat("r", ++m_nextId), kind };
    auto isStream = kind == Kind::Draft;
    auto target = absl::StrCat(kind == Kind::Status ? "/status/" : kind == Kind::Booking ? "/booking/"
                                                                                         : "/draft/",
        outcome.id);
    std::string method = kind == Kind::Status ? "GET" : "POST";
    auto body = kind == Kind::Status ? std::string() : std::string(std::uniform_int_distribution<std::size_t>(1, 3000)(random), 'b');
    int after = isStream ? std::uniform_int_distribution<int>(0, 2)(random) : 0;
    std::string bytes;
    {
        std::lock_guard lock(m_keyMutex);
        bytes = absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", outcome.id, "\r\nX-Deadline-Ms: 2500\r\nApi-Key: ", m_key, "\r\n");
    }
    if (isStream)
        absl::StrAppend(&bytes, "X-Model-Name: *\r\nX-Token-Count: 900,50\r\nX-Prefix-Hash: 5c1e07a2:300,e4:600\r\n", after > 0 ? absl::StrCat("Last-Event-Id: ", after, "\r\n") : "");
    if (!body.empty())
        absl::StrAppend(&bytes, "Content-Length: ", body.size(), "\r\n");
    outcome.sentAt = Clock::now();
    if (!connection)
        connection = RawConnection::connect(instances[instance]->port());
    std::string answer;
    if (connection && connection->write(absl::StrCat(bytes, "\r\n", body)))
        answer = connection->readAnswer(answerTime);
    outcome.endedAt = Clock::now();
    outcome.status = statusOf(answer);
    auto headEnd = answer.find("\r\n\r\n");
    auto head = answer.substr(0, headEnd);
    auto content = headEnd == std::string::npos ? std::string() : answer.substr(headEnd + 4);
    bool isChunked = absl::StrContains(head, "Transfer-Encoding: chunked");
    outcome.isWhole = headEnd != std::string::npos && (!isChunked || absl::EndsWith(content, "0\r\n\r\n"));
    if (outcome.status == 200 && !absl::StrContains(head, "X-Server-Seal: seal-" + outcome.id))
        outcome.defect = "the response belongs to another request";
    else if (outcome.status == 200 && isStream)
        outcome.defect = streamDefect(target, dechunked(content), after, outcome.isWhole);
    else if (outcome.status == 200 && content != echoOf(method, target, body))
        outcome.defect = "the upstream received a different request, or its response was altered";
    if (!outcome.isWhole || absl::StrContains(head, "Connection: close"))
        connection.reset();
    records.ended(outcome);
    return outcome;
}

void SoakSite::heal()
{
    store.setFault(StoreFault::None);
    for (auto& it : storeLinks)
        it->setFault(LinkFault::None);
    for (auto& it : upstreams) {
        it.link->setFault(LinkFault::None);
        it.link->setTarget(it.server->port());
        // Another upstream may have responded at this address in the meantime, which ends the incarnation.
        ++it.born;
        enlist(it);
    }
    for (auto& it : instances)
        it->signal(SIGCONT);
}

}
