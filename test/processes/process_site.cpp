#include "processes/process_site.h"

#include "adapters/digest.h"
#include "core/check.h"

#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace skylarkhitch {

namespace {

    constexpr Seconds eventuallyLimit { 25 };
    constexpr Milliseconds eventuallyPeriod { 30 };

    std::string program(const std::string& name) { return std::string(SKYLARKHITCH_BINARY_DIR) + "/" + name; }

    std::string fieldOf(const std::string& line, const std::string& name)
    {
        std::istringstream words(line);
        for (std::string word; words >> word;) {
            if (word.rfind(name + "=", 0) == 0)
                return word.substr(name.size() + 1);
        }
        return {};
    }

}

nlohmann::json Response::json() const
{
    auto parsed = nlohmann::json::parse(body, nullptr, false);
    USAGE_CHECK(!parsed.is_discarded()) << "the response is no JSON: " << (complete ? "complete" : "not complete") << ", status " << status << ", " << body.size() << " bytes: '" << body.substr(0, 200) << "'";
    return parsed;
}

std::string Response::errorKind() const
{
    auto text = events().empty() ? body : events().back();
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    return parsed.is_object() && parsed.contains("error") && parsed["error"].is_object() ? parsed["error"].value("kind", "") : "";
}

std::string Response::executed() const
{
    auto text = events().empty() ? body : events().back();
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    return parsed.is_object() && parsed.contains("error") ? parsed["error"].value("ran", "") : "";
}

std::vector<std::string> Response::events() const
{
    std::vector<std::string> payloads;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("data: ", 0) == 0)
            payloads.push_back(line.substr(6));
    }
    return payloads;
}

struct ProcessSite::PendingResponse {
    std::mutex mutex;
    std::condition_variable done;
    std::optional<HttpResult> result;
};

ProcessSite::ProcessSite(int count)
    : entries(static_cast<std::size_t>(count))
{
    auto pattern = (std::filesystem::temp_directory_path() / "skylarkhitch-XXXXXX").string();
    m_directory = mkdtemp(pattern.data());
    platform = startStandin(platformProcess, { "platform" });
    for (const auto& [name, version, quality] : { std::tuple { "small-a", "small-1", "600" }, { "small-b", "small-1", "600" }, { "small-c", "small-2", "600" }, { "large-a", "large-1", "900" } })
        engines[name] = startStandin(engineProcesses[name], { "engine", "--version", version, "--quality", quality, "--per-token-ms", "20" });
    service = startStandin(serviceProcess, { "service" });
    for (int n = 0; n < count; ++n)
        startEntry(n);
    USAGE_CHECK(eventually([&] { return status(0)["members"].size() + 1 == entries.size(); })) << "the entries did not discover each other";
    USAGE_CHECK(runTool(0, { "--wait", "config", "apply", configurationFile("first") }) == 0) << "the tool failed to apply the configuration";
}

ProcessSite::~ProcessSite() { std::filesystem::remove_all(m_directory); }

std::string ProcessSite::startStandin(std::unique_ptr<ChildProcess>& process, std::vector<std::string> arguments) const
{
    arguments.insert(arguments.begin(), program("test/skylarkhitch-standin"));
    process = std::make_unique<ChildProcess>(arguments);
    return "127.0.0.1:" + process->firstLine();
}

void ProcessSite::startEntry(int n)
{
    auto& entry = entries[static_cast<std::size_t>(n)];
    auto name = "entry-" + std::to_string(n);
    auto file = m_directory + "/" + name + ".yaml";
    std::ofstream(file) << "instance: " << name << "\ndomain: d" << n % 3 << "\nlisten: 127.0.0.1:0\noperator_listen: 127.0.0.1:0\npeer_listen: 127.0.0.1:0\n"
                        << "platform: " << platform << "\npeer_secret: test\ndrain_grace_ms: 500\nheartbeat_ms: 200\nlist_period_ms: 300\nload_period_ms: 300\nseed: 7\nlog_level: error\n";
    entry.process = std::make_unique<ChildProcess>(std::vector<std::string> { program("skylarkhitchd"), "--settings", file });
    entry.callerAddress = fieldOf(entry.process->firstLine(), "callers");
    entry.operatorAddress = fieldOf(entry.process->firstLine(), "operators");
    entry.peerAddress = fieldOf(entry.process->firstLine(), "peers");
    USAGE_CHECK(!entry.callerAddress.empty()) << name << " did not start: '" << entry.process->firstLine() << "', exit status " << entry.process->exitStatus().value_or(-1);
    registerInstance(name, "entry", entry.callerAddress, entry.peerAddress, "live");
}

void ProcessSite::registerInstance(const std::string& id, const std::string& role, const std::string& address, const std::string& peerAddress, const std::string& state)
{
    nlohmann::json line = { { "id", id }, { "role", role }, { "address", address }, { "peer_address", peerAddress }, { "state", state } };
    call(platform, "POST", "/v1/instances", line.dump());
}

std::string ProcessSite::configurationFile(const std::string& name, const std::string& more) const
{
    auto file = m_directory + "/" + name + ".yaml";
    std::ofstream out(file);
    out << "ranks:\n  urgent: { order: 0, deadline_ms: 15000, guaranteed_share: 0.3 }\n  later: { order: 1, deadline_ms: 20000, guaranteed_share: 0.1 }\n"
        << "models:\n  small: { current: small-1 }\n  large: { current: large-1 }\n"
        << "versions:\n  small-1: { model: small, cost_per_output_token: 2, quality: 0.6 }\n  small-2: { model: small, cost_per_output_token: 2, quality: 0.6 }\n"
        << "  large-1: { model: large, cost_per_output_token: 30, quality: 0.9 }\n"
        << "cascades:\n  draft: { steps: [small, large], quality_target: 0.7 }\n"
        << "teams:\n  weavers: { key_sha256: [" << sha256Hex("weavers-key") << "], cascades: [draft], models: [small, large], services: [orders] }\n"
        << "  guests: { key_sha256: [" << sha256Hex("guests-key") << "], versions: [small-1] }\n"
        << "services:\n  orders: { cost_per_call: 500, rank: urgent }\n"
        << "limits: { rated_share: 0, attempt_timeout_ms: 5000 }\nupstreams:\n"
        << "  orders-a: { address: \"" << service << "\", domain: d0, service: orders }\n";
    for (const auto& [engine, version] : { std::pair { "small-a", "small-1" }, { "small-b", "small-1" }, { "small-c", "small-2" }, { "large-a", "large-1" } })
        out << "  " << engine << ": { address: \"" << engines.at(engine) << "\", domain: d1, version: " << version << " }\n";
    out << more;
    return file;
}

Response ProcessSite::call(const std::string& address, const std::string& method, const std::string& path, const std::string& body, std::vector<HttpHeader> headers, Milliseconds timeout)
{
    auto pending = std::make_shared<PendingResponse>();
    HttpCall http { .method = method, .address = address, .path = path, .headers = std::move(headers), .timeout = timeout };
    if (method != "GET")
        http.body = std::make_shared<const std::string>(body);
    m_client.start(std::move(http), { .onEnd = [pending](HttpResult it) {
        std::lock_guard lock(pending->mutex);
        pending->result = std::move(it);
        pending->done.notify_one();
    } });
    std::unique_lock lock(pending->mutex);
    pending->done.wait(lock, [&] { return pending->result.has_value(); });
    return { pending->result->end == HttpEnd::Complete, pending->result->status, pending->result->headers, pending->result->body };
}

Response ProcessSite::chat(int entry, const std::string& model, bool streamed, std::vector<HttpHeader> headers)
{
    headers.push_back({ "Authorization", "Bearer weavers-key" });
    std::string body = R"({"model":")" + model + R"(","messages":[{"role":"user","content":"hi"}],"stream":)" + (streamed ? "true}" : "false}");
    return call(entries[static_cast<std::size_t>(entry)].callerAddress, "POST", "/v1/chat/completions", body, std::move(headers));
}

void ProcessSite::startChat(int entry, const std::string& model)
{
    m_pendingChat = std::make_shared<PendingResponse>();
    HttpCall http { .method = "POST", .address = entries[static_cast<std::size_t>(entry)].callerAddress, .path = "/v1/chat/completions", .headers = { { "Authorization", "Bearer weavers-key" } }, .timeout = Seconds(30) };
    http.body = std::make_shared<const std::string>(R"({"model":")" + model + R"(","messages":[{"role":"user","content":"hi"}],"stream":true})");
    m_client.start(std::move(http), { .onEnd = [pending = m_pendingChat](HttpResult it) {
        std::lock_guard lock(pending->mutex);
        pending->result = std::move(it);
        pending->done.notify_one();
    } });
}

Response ProcessSite::finishChat()
{
    std::unique_lock lock(m_pendingChat->mutex);
    m_pendingChat->done.wait(lock, [&] { return m_pendingChat->result.has_value(); });
    return { m_pendingChat->result->end == HttpEnd::Complete, m_pendingChat->result->status, m_pendingChat->result->headers, m_pendingChat->result->body };
}

Response ProcessSite::book(int entry, const std::string& key, const std::string& body)
{
    std::vector<HttpHeader> headers { { "Authorization", "Bearer weavers-key" } };
    if (!key.empty())
        headers.push_back({ "Idempotency-Key", key });
    return call(entries[static_cast<std::size_t>(entry)].callerAddress, "POST", "/services/orders/slots", body, std::move(headers));
}

void ProcessSite::setFault(const std::string& address, const std::string& query) { call(address, "POST", "/fault?" + query); }

int ProcessSite::bookingCount(const std::string& body)
{
    int n = 0;
    for (const auto& it : call(service, "GET", "/log").json())
        n += it == body ? 1 : 0;
    return n;
}

nlohmann::json ProcessSite::stats(const std::string& address) { return call(address, "GET", "/stats").json(); }

nlohmann::json ProcessSite::status(int entry) { return call(entries[static_cast<std::size_t>(entry)].operatorAddress, "GET", "/admin/status").json(); }

std::uint64_t ProcessSite::billedMicros(const std::string& team)
{
    for (const auto& it : call(entries[0].operatorAddress, "GET", "/admin/bills").json().value("teams", nlohmann::json::array())) {
        if (it.at("team") == team)
            return it.at("cost_micros");
    }
    return 0;
}

int ProcessSite::runTool(int entry, const std::vector<std::string>& arguments)
{
    std::vector<std::string> command { program("skylarkhitch"), "--operator", entries[static_cast<std::size_t>(entry)].operatorAddress };
    command.insert(command.end(), arguments.begin(), arguments.end());
    ChildProcess process(command);
    return process.waitForExit(Seconds(30)).value_or(-1);
}

bool ProcessSite::eventually(const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + eventuallyLimit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(eventuallyPeriod);
    }
    return false;
}

}
