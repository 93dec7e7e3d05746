#include "site.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

using Json = nlohmann::json;

namespace {

    constexpr int firstTriedPort = 21000, lastTriedPort = 29000, portsOfInstance = 16;

    std::string readFile(const std::string& path)
    {
        std::ifstream in(path);
        return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
    }

    // Fills in a template as DEPLOY.md says, as far as the project's template uses it: values, and sections of values that exist.
    std::string fillIn(std::string text, const std::map<std::string, std::string>& fields)
    {
        for (std::size_t at = 0; (at = text.find("{{#", at)) != std::string::npos;) {
            auto nameEnd = text.find("}}", at);
            auto name = text.substr(at + 3, nameEnd - at - 3);
            auto closing = absl::StrCat("{{/", name, "}}");
            auto end = text.find(closing, nameEnd);
            auto inner = fields.contains(name) ? text.substr(nameEnd + 2, end - nameEnd - 2) : std::string();
            text.replace(at, end + closing.size() - at, inner);
        }
        for (const auto& [name, value] : fields)
            text = absl::StrReplaceAll(text, { { absl::StrCat("{{", name, "}}"), value } });
        return text;
    }

    // The words of `run` in the deploy file, with the path of the settings file in place of the platform's.
    std::vector<std::string> command(const std::string& settings)
    {
        auto deploy = readFile(absl::StrCat(REVIEW_ROOT, "/deploy/system.toml"));
        constexpr std::string_view key = "run = \"";
        auto start = deploy.find(key) + key.size();
        std::vector<std::string> words = absl::StrSplit(deploy.substr(start, deploy.find('"', start) - start), ' ');
        words.front() = absl::StrCat(REVIEW_ROOT, "/", words.front());
        words.back() = settings;
        return words;
    }

    bool isFree(const std::string& ip, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        for (int type : { SOCK_STREAM, SOCK_DGRAM }) {
            int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            bool isBound = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
            ::close(fd);
            if (!isBound)
                return false;
        }
        return true;
    }

    std::string ipOf(int number) { return absl::StrCat("127.0.0.", number); }

    // The first of consecutive ports that are free at all addresses of the instances.
    int findPorts(int instances)
    {
        auto areFree = [&](int first) {
            for (int n = 0; n < instances; ++n) {
                for (int port = first; port < first + portsOfInstance; ++port) {
                    if (!isFree(ipOf(11 + n), port))
                        return false;
                }
            }
            return true;
        };
        auto start = firstTriedPort + static_cast<int>(::getpid() * portsOfInstance % (lastTriedPort - firstTriedPort));
        for (int port = start; port < lastTriedPort; port += portsOfInstance) {
            if (areFree(port))
                return port;
        }
        std::cerr << "no free ports\n";
        std::exit(couldNotRun);
    }

}

bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

Record::Record(const std::string& path)
    : m_file(path)
{
    // The program ends with the script that started it, and the instances with the program.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::set_terminate([] { _exit(couldNotRun); });
}

void Record::line(const std::string& text)
{
    std::lock_guard lock(m_mutex);
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start).count();
    m_file << ms << " ms " << text << std::endl;
}

Instance::Instance(const std::string& directory, int number, int firstPort, const std::string& store, const std::string& seeds, Record& record)
    : m_name(absl::StrCat("edge-", number))
    , m_ip(ipOf(number))
    , m_firstPort(firstPort)
    , m_settings(absl::StrCat(directory, "/", m_name, ".yaml"))
    , m_log(absl::StrCat(directory, "/", m_name, ".log"))
    , m_record(record)
{
    auto address = [&](int n) { return absl::StrCat(m_ip, ":", m_firstPort + n); };
    std::map<std::string, std::string> fields {
        { "nodeName", m_name }, { "zone", "delta-a" }, { "ip", m_ip }, { "listen.frontend", address(0) }, { "listen.readiness", address(1) },
        { "listen.registry", address(2) }, { "seedNodes", seeds }, { "internalPorts.0", absl::StrCat(m_firstPort + 4) }, { "internalPorts.1", absl::StrCat(m_firstPort + 5) },
        { "platform.address", store }, { "limits.cpuQuota", "0.25" }, { "limits.memoryMb", "260" }, { "limits.maxFds", "4100" }, { "limits.linkMbps", "1000.0" },
        { "bounds.configApplyMs", "2000" }, { "bounds.drainMs", "2000" }, { "bounds.graceS", absl::StrCat(std::chrono::seconds(stopGrace).count()) }, { "bounds.sessionS", "5" },
        { "bounds.retryRatio", "0.9" }, { "bounds.retryWindowS", "10" }, { "bounds.retryHeadroom", "56" }
    };
    std::ofstream(m_settings) << fillIn(readFile(absl::StrCat(REVIEW_ROOT, "/platform/settings.yaml.template")), fields);
}

Instance::~Instance() { m_process.reset(); }

void Instance::start()
{
    m_record.line(absl::StrCat(m_name, " starts"));
    m_startedAt = Clock::now();
    m_process = std::make_unique<skylarkhitch::ChildProcess>(command(m_settings), m_log);
}

void Instance::kill()
{
    m_record.line(absl::StrCat(m_name, " is killed"));
    m_process.reset();
}

void Instance::signal(int number)
{
    m_record.line(absl::StrCat(m_name, " gets signal ", number));
    m_process->signal(number);
}

bool Instance::hasEnded() const { return m_process && m_process->exitStatus().has_value(); }

bool Instance::isReady() const
{
    auto connection = connectTo(m_ip, m_firstPort + 1);
    if (!connection)
        return false;
    connection->write("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    return statusOf(connection->readResponse(1s)) == 200;
}

Deployment::Deployment(Record& record, const std::vector<std::string>& stores)
{
    auto count = static_cast<int>(stores.size());
    auto pattern = (std::filesystem::temp_directory_path() / "skylarkhitch-review-XXXXXX").string();
    m_directory = ::mkdtemp(pattern.data());
    auto firstPort = findPorts(count);
    std::string seeds;
    for (int n = 0; n < std::min(count, 3); ++n)
        absl::StrAppend(&seeds, n > 0 ? "," : "", ipOf(11 + n), ":", firstPort + 3);
    for (int n = 0; n < count; ++n)
        instances.push_back(std::make_unique<Instance>(m_directory, 11 + n, firstPort, stores[static_cast<std::size_t>(n)], seeds, record));
}

void Deployment::startAll()
{
    for (auto& it : instances)
        it->start();
}

Deployment::~Deployment()
{
    instances.clear();
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(m_directory);
    else
        std::cerr << "logs: " << m_directory << "\n";
}

bool Deployment::awaitReady(std::chrono::milliseconds time) const
{
    return waitUntil(time, [&] { return std::all_of(instances.begin(), instances.end(), [](const auto& it) { return it->isReady(); }); });
}

std::unique_ptr<RawConnection> connectTo(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<RawConnection>(fd);
}

bool waitUntil(std::chrono::milliseconds time, const std::function<bool()>& condition)
{
    auto end = Clock::now() + time;
    while (!condition()) {
        if (Clock::now() > end)
            return false;
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

int statusOf(const std::string& response) { return response.size() < 12 ? 0 : std::atoi(response.c_str() + 9); }

std::string answerTo(const RawRequest& request, int status, const std::string& body, const std::string& extraFields)
{
    return absl::StrCat("HTTP/1.1 ", status, " ", status < 400 ? "OK" : "Error", "\r\nX-Attempt-Id: ", request.field("X-Attempt-Id"), "\r\nX-Server-Seal: seal-", request.field("X-Attempt-Id"), "\r\n", extraFields, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

Json route(const std::string& name, const std::string& kind, const std::string& service, int timeoutMs, int targetMs)
{
    return { { "name", name }, { "hostname", "a.example" }, { "prefix", "/" + name + "/" }, { "routeType", kind }, { "timeoutMs", timeoutMs }, { "targetLatencyMs", targetMs }, { "priority", 1 }, { "backend", service },
        { "maxAttempts", kind == "non_idempotent" ? 1 : 3 }, { "anonymous", false } };
}

std::string configuration(std::int64_t version, const Json& routes)
{
    Json services = Json::array();
    std::vector<std::string> names;
    for (const auto& it : routes) {
        std::string name = it.at("backend");
        if (std::find(names.begin(), names.end(), name) != names.end())
            continue;
        names.push_back(name);
        Json service { { "name", name }, { "healthPath", "/healthz" }, { "maxConnections", 370 } };
        if (it.at("routeType") == "streaming")
            service["engine"] = { { "capacity", 64 }, { "kvCapacity", 691759 }, { "stride", 5 } };
        services.push_back(service);
    }
    return Json { { "version", version }, { "routes", routes }, { "backends", services },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 5000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", { { { "name", "barn" }, { "apiKeys", { "key-1" } } } } } }
        .dump();
}

std::string registration(const std::string& service, const std::string& address, std::int64_t born, std::int64_t writes, int slots)
{
    return Json { { "backend", service }, { "address", address }, { "zone", "delta-a" }, { "version", "v1" }, { "capacity", slots }, { "state", "ready" }, { "coldRemainingMs", 0 }, { "seq", writes }, { "born", born } }.dump();
}

}
