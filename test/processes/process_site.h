#pragma once

// A deployment of real processes on loopback: fakes, entry daemons and a client. Ends only the processes that it started.

#include "adapters/http_client.h"
#include "processes/child_process.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace skylarkhitch {

struct Response {
    // Whether the response was received up to its end.
    bool complete = false;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    // Parses the body. Throws UsageError, with the response, if it is no JSON.
    nlohmann::json json() const;
    // The kind of the error in the body or in the last event, or an empty string.
    std::string errorKind() const;
    // The error's `ran` value, which states whether an upstream executed the request, or an empty string.
    std::string executed() const;
    // The data payloads of a server-sent event stream.
    std::vector<std::string> events() const;
};

class ProcessSite {
public:
    explicit ProcessSite(int entries = 3);
    ~ProcessSite();

    // Sends a request and waits for the response.
    Response call(const std::string& address, const std::string& method, const std::string& path, const std::string& body = {}, std::vector<HttpHeader> headers = {}, Milliseconds timeout = Seconds(30));
    Response chat(int entry, const std::string& model, bool streamed = false, std::vector<HttpHeader> headers = {});
    // Starts a streamed chat in the background; finishChat waits for its response.
    void startChat(int entry, const std::string& model);
    Response finishChat();
    // Sends a booking; an empty `key` means no idempotency key.
    Response book(int entry, const std::string& key, const std::string& body);

    // Sets faults of the fake at an address; `query` is NAME=VALUE, or several joined by '&'.
    void setFault(const std::string& address, const std::string& query);
    // Number of bookings with this body that the fake service executed.
    int bookingCount(const std::string& body);
    // The counters of the fake at an address.
    nlohmann::json stats(const std::string& address);
    // The status that an entry reports to operators.
    nlohmann::json status(int entry);
    // The total cost billed to a team, in millionths.
    std::uint64_t billedMicros(const std::string& team);
    // Runs the skylarkhitch tool against an entry's operator port and returns its exit status.
    int runTool(int entry, const std::vector<std::string>& arguments);
    // Polls the condition until it holds; returns false after 25 s.
    static bool eventually(const std::function<bool()>&);

    // Starts an entry and registers it with the fake platform.
    void startEntry(int entry);
    // Writes an instance's line in the fake platform's instance list; the state "gone" removes it.
    void registerInstance(const std::string& id, const std::string& role, const std::string& address, const std::string& peerAddress, const std::string& state);
    // Writes the configuration, followed by `more`, to a file and returns its path.
    std::string configurationFile(const std::string& name, const std::string& more = {}) const;

    // Addresses of the fakes; engines by name.
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
