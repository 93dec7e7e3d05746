// A closed-loop load generator for measurements on loopback, with one thread per connection and a time limit. Prints one JSON
// object.

#include "adapters/command_line.h"
#include "adapters/http_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <iostream>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <pthread.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace skylarkhitch;
using Clock = std::chrono::steady_clock;

struct Options {
    char* address = nullptr;
    char* method = nullptr;
    char* path = nullptr;
    char* key = nullptr;
    char* model = nullptr;
    char* rank = nullptr;
    int connections = 8;
    int requests = 2000;
    int tokens = 1;
    int stream = 0;
    // Time limit of the whole run, in seconds.
    int timeLimitSeconds = 60;
};

struct Sample {
    double totalMs = 0;
    double firstTokenMs = 0;
    int status = 0;
};

// A persistent connection with a minimal HTTP/1.1 response reader.
class Connection {
public:
    explicit Connection(const HostPort& to)
        : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(to.port));
        inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
        int enabled = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        timeval timeout { 30, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        m_open = connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    }
    ~Connection() { close(m_fd); }
    bool isOpen() const { return m_open; }

    Sample exchange(const std::string& request)
    {
        Sample sample;
        auto start = Clock::now();
        auto elapsed = [&] { return std::chrono::duration<double, std::milli>(Clock::now() - start).count(); };
        m_open = ::send(m_fd, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size());
        m_buffer.clear();
        while (m_open && m_buffer.find("\r\n\r\n") == std::string::npos)
            receive();
        if (!m_open)
            return sample;
        sample.status = std::stoi(m_buffer.substr(9, 3));
        auto bodyAt = m_buffer.find("\r\n\r\n") + 4;
        auto lengthAt = m_buffer.find("Content-Length: ");
        if (lengthAt != std::string::npos && lengthAt < bodyAt) {
            auto length = std::stoul(m_buffer.substr(lengthAt + 16));
            while (m_open && m_buffer.size() < bodyAt + length)
                receive();
        } else {
            while (m_open && m_buffer.find("\"content\"", bodyAt) == std::string::npos && m_buffer.find("0\r\n\r\n", bodyAt) == std::string::npos)
                receive();
            sample.firstTokenMs = elapsed();
            while (m_open && m_buffer.compare(std::max<std::size_t>(5, m_buffer.size()) - 5, 5, "0\r\n\r\n") != 0)
                receive();
        }
        sample.totalMs = elapsed();
        return sample;
    }

private:
    void receive()
    {
        char block[16384];
        auto n = recv(m_fd, block, sizeof block, 0);
        m_open = n > 0;
        if (n > 0)
            m_buffer.append(block, static_cast<std::size_t>(n));
    }

    int m_fd;
    bool m_open;
    std::string m_buffer;
};

std::string requestText(const Options& options)
{
    std::string method = options.method ? options.method : "POST";
    std::string path = options.path ? options.path : "/v1/chat/completions";
    std::string body;
    if (method == "POST")
        body = nlohmann::json { { "model", options.model ? options.model : "small" }, { "messages", nlohmann::json::array({ { { "role", "user" }, { "content", "hi" } } }) }, { "max_tokens", options.tokens }, { "stream", options.stream != 0 } }.dump();
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + (options.key ? options.key : "key") + "\r\nContent-Type: application/json\r\n";
    if (options.rank)
        text += std::string("X-Rank: ") + options.rank + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

class LoadGenerator {
public:
    explicit LoadGenerator(const Options& options)
        : m_options(options)
        , m_request(requestText(options))
        , m_server(parseHostPort(options.address))
        , m_samples(static_cast<std::size_t>(options.connections))
    {
    }

    nlohmann::json run()
    {
        auto start = Clock::now();
        m_deadline = start + std::chrono::seconds(m_options.timeLimitSeconds);
        std::vector<std::thread> threads;
        for (int n = 0; n < m_options.connections; ++n)
            threads.emplace_back([this, n] { runConnection(m_samples[static_cast<std::size_t>(n)]); });
        for (auto& it : threads)
            it.join();
        return summary(std::chrono::duration<double>(Clock::now() - start).count());
    }

private:
    void runConnection(std::vector<Sample>& samples)
    {
        auto connection = std::make_unique<Connection>(m_server);
        while (m_sent++ < m_options.requests && Clock::now() < m_deadline) {
            if (!connection->isOpen())
                connection = std::make_unique<Connection>(m_server);
            samples.push_back(connection->exchange(m_request));
        }
    }

    nlohmann::json summary(double seconds) const
    {
        std::vector<double> totalTimes;
        std::vector<double> firstTokenTimes;
        std::map<int, int> statuses;
        for (const auto& list : m_samples) {
            for (const auto& it : list) {
                ++statuses[it.status];
                totalTimes.push_back(it.totalMs);
                if (it.firstTokenMs > 0)
                    firstTokenTimes.push_back(it.firstTokenMs);
            }
        }
        nlohmann::json json = { { "requests", totalTimes.size() }, { "seconds", seconds }, { "per_second", static_cast<double>(totalTimes.size()) / seconds },
            { "p50_ms", percentile(totalTimes, 0.5) }, { "p99_ms", percentile(totalTimes, 0.99) }, { "first_p50_ms", percentile(firstTokenTimes, 0.5) }, { "first_p99_ms", percentile(firstTokenTimes, 0.99) } };
        for (const auto& [status, n] : statuses)
            json["status"][std::to_string(status)] = n;
        return json;
    }

    Options m_options;
    std::string m_request;
    HostPort m_server;
    Clock::time_point m_deadline;
    std::atomic<int> m_sent = 0;
    std::vector<std::vector<Sample>> m_samples;
};

}

int main(int argc, const char** argv)
{
    Options options;
    poptOption table[] = {
        { "address", 'a', POPT_ARG_STRING, &options.address, 0, "server address, on loopback", "IP:PORT" },
        { "method", 0, POPT_ARG_STRING, &options.method, 0, "HTTP method (default: POST)", "METHOD" },
        { "path", 0, POPT_ARG_STRING, &options.path, 0, "request path", "PATH" },
        { "key", 0, POPT_ARG_STRING, &options.key, 0, "API key, sent as bearer token", "KEY" },
        { "model", 0, POPT_ARG_STRING, &options.model, 0, "model name", "NAME" },
        { "rank", 0, POPT_ARG_STRING, &options.rank, 0, "rank of the requests", "NAME" },
        { "connections", 'c', POPT_ARG_INT, &options.connections, 0, "number of connections", "N" },
        { "requests", 'n', POPT_ARG_INT, &options.requests, 0, "total number of requests", "N" },
        { "tokens", 0, POPT_ARG_INT, &options.tokens, 0, "tokens in each response", "N" },
        { "stream", 0, POPT_ARG_NONE, &options.stream, 0, "request streamed responses", nullptr },
        { "limit", 0, POPT_ARG_INT, &options.timeLimitSeconds, 0, "time limit of the run", "SECONDS" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    CommandLine line("skylarkhitch-load", argc, argv, table);
    auto* context = line.get();
    bool valid = poptGetNextOpt(context) == -1 && options.address && std::string(options.address).rfind("127.", 0) == 0;
    if (!valid) {
        std::cerr << "usage: skylarkhitch-load --address 127.0.0.1:PORT [...]; only loopback addresses are allowed\n";
        return 2;
    }
    std::cout << LoadGenerator(options).run().dump() << "\n";
    return 0;
}
