#pragma once

// A deployment of real processes on loopback: fakes, entry daemons and a client. Ends only the processes that it started.

#include "adapters/http_client.h"
#include "processes/child_process.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace skylarkhitch {

struct Response {
    bool complete = false;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
    std::string errorKind() const;
    std::string executed() const;
    // The data payloads of a server-sent event stream.
    std::vector<std::string> events() const;
};

class ProcessSite {
public:
    explicit ProcessSite(int entries = 3);
    ~ProcessSite();

    Response call(const std::string& address, const std::string& method, const std::string& path, const std::string& body = {}, std::vector<HttpHeader> headers = {}, Milliseconds timeout = Seconds(30));
    Response chat(int entry, const std::string& model, bool streamed = false, std::vector<HttpHeader> headers = {});
    // Starts a streamed chat in the background; finishChat waits for its response.
    void startChat(int entry, const std::string& model);
    Response finishChat();
    Response book(int entry, const std::string& key, const std::string& body);

    void setFault(const std::string& address, const std::string& query);
    int bookingCount(const std::string& body);
    nlohmann::json stats(const std::string& address);
    nlohmann::json status(int entry);
    std::uint64_t billedMicros(const std::string& team);
    // Runs the skylarkhitch tool against an entry's operator port and returns its exit status.
    int runTool(int entry, const std::vector<std::string>& arguments);
    // Polls the condition until it holds; returns false after 25 s.
    static bool eventually(const std::function<bool()>&);

    void startEntry(int entry);
    void registerInstance(const std::string& id, const std::string& role, const std::string& address, const std::string& peerAddress, const std::string& state);
    // Writes the configuration, followed by `more`, to a file and returns its path.
    std::string configurationFile(const std::string& name, const std::string& more = {}) const;

    std::string platform;
    std::map<std::string, std::string> engines;
    std::string service;
    std::unique_ptr<ChildProcess> platformProcess;
    std::map<std::string, std::unique_ptr<ChildProcess>> engineProcesses;
    std::unique_ptr<ChildProcess> serviceProcess;
    struct Entry {
        std::unique_ptr<ChildProcess> process;
        std::string callerAddress;
        std::string operatorAddress;
        std::string peerAddress;
    };
    std::vector<Entry> entries;

private:
    std::string startStandin(std::unique_ptr<ChildProcess>&, std::vector<std::string> arguments) const;

    std::string m_directory;
    HttpClient m_client;
    struct PendingResponse;
    std::shared_ptr<PendingResponse> m_pendingChat;
};

}
