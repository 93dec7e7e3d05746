#pragma once

// Stand-ins for what surrounds the system: the platform, model engines and plain services. Each is one small HTTP
// server in the program skylarkhitch-standin; POST /fault?NAME=VALUE switches its faults.

#include "adapters/http_server.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace skylarkhitch::standin {

// Runs functions later, on one thread.
class Timer {
public:
    Timer();
    ~Timer();
    void after(Milliseconds, std::function<void()>);

private:
    void run();
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> m_due;
    bool m_stopping = false;
    std::thread m_thread;
};

// Faults by name, as numbers or texts.
class Faults {
public:
    void set(const std::string& name, const std::string& value);
    std::int64_t number(const std::string& name) const;
    std::string text(const std::string& name) const;
    // Takes one from a counted fault; false if none is left.
    bool takeOne(const std::string& name);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_values;
};

class Standin {
public:
    virtual ~Standin() = default;
    virtual void serve(const HttpRequest&, const std::shared_ptr<HttpReply>&) = 0;
    Faults faults;
    Timer timer;
};

std::unique_ptr<Standin> makePlatform();
// The engine says that it serves `version` and marks its answers with a quality in thousandths.
std::unique_ptr<Standin> makeEngine(const std::string& version, int qualityThousandths, Milliseconds perToken, int slots);
std::unique_ptr<Standin> makeService();

void respondText(HttpReply&, int status, std::string body, std::vector<HttpHeader> extra = {});

}
