#pragma once

// Fakes for the external systems: the platform, model engines and services. Each runs as an HTTP server in the program
// skylarkhitch-standin; POST /fault?NAME=VALUE sets a fault.

#include "adapters/http_server.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace skylarkhitch::standin {

// Runs functions after a delay, all on one thread.
class Timer {
public:
    Timer();
    ~Timer();
    void after(Milliseconds, std::function<void()>);

private:
    void run();
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> m_scheduled;
    bool m_stopping = false;
    std::thread m_thread;
};

// Fault settings by name; values are numbers or text. An unset fault is 0 or empty.
class Faults {
public:
    void set(const std::string& name, const std::string& value);
    std::int64_t number(const std::string& name) const;
    std::string text(const std::string& name) const;
    // Decrements a fault that applies to the next N requests; returns false if it is 0.
    bool consume(const std::string& name);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_values;
};

// A fake of one external system, with its fault settings.
class Standin {
public:
    virtual ~Standin() = default;
    virtual void serve(const HttpRequest&, const std::shared_ptr<HttpReply>&) = 0;
    Faults faults;
    Timer timer;
};

std::unique_ptr<Standin> makePlatform();
// The engine reports the model that the request names, or else `version`, as the version. It writes its quality (in
// thousandths) into its responses, where the fake rating service reads it.
std::unique_ptr<Standin> makeEngine(const std::string& version, int qualityThousandths, Milliseconds perToken, int slots);
std::unique_ptr<Standin> makeService();

// Sends a complete JSON response.
void respondText(HttpReply&, int status, std::string body, std::vector<HttpHeader> extra = {});

}
