#pragma once

// Engines that crash on a prompt part, the callers of sound requests beside them, and the check of rule BUDGET for such parts.

#include "site.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace review {

inline const std::string fatalPart = "dead0dead0";
constexpr auto timeToFirstEvent = 150ms, restartTime = 2500ms;

// An engine that crashes when it begins to write an answer on the part, and is back after some seconds.
class Engine {
public:
    Engine(FleetStore& store, Record& record, std::string id)
        : m_store(store)
        , m_record(record)
        , m_upstream(std::move(id), [this](const RawRequest& request, RawConnection& connection, std::int64_t process) { return serve(request, connection, process); })
    {
        enter();
    }

    void restartIfDue()
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_upstream.isRunning(m_upstream.process()) || Clock::now() < m_crashes.back() + restartTime)
                return;
        }
        m_upstream.restart();
        enter();
        m_record.line(m_upstream.id() + " is back");
    }
    std::vector<Clock::time_point> crashes()
    {
        std::lock_guard lock(m_mutex);
        return m_crashes;
    }
    std::vector<Clock::time_point> fatalRequests()
    {
        std::lock_guard lock(m_mutex);
        return m_fatalRequests;
    }

private:
    void enter() { m_store.put("servers/" + m_upstream.id(), registration(m_upstream.address(), "assist", 1, "ready", m_upstream.process())); }

    bool serve(const RawRequest& request, RawConnection& connection, std::int64_t process)
    {
        bool isFatal = absl::StrContains(request.field("X-Prefix-Hash"), fatalPart);
        if (isFatal) {
            std::lock_guard lock(m_mutex);
            m_fatalRequests.push_back(Clock::now());
            m_record.line(absl::StrCat("engine ", m_upstream.id(), " got the fatal request ", request.field("X-Attempt-Id")));
        }
        if (connection.isClosedWithin(timeToFirstEvent))
            return false;
        if (isFatal) {
            std::lock_guard lock(m_mutex);
            if (m_upstream.crash(process)) {
                m_crashes.push_back(Clock::now());
                m_record.line(absl::StrCat("engine ", m_upstream.id(), " crashed on ", request.field("X-Attempt-Id")));
            }
            return false;
        }
        skylarkhitch::standin::StreamOptions options;
        options.isRunning = [&] { return m_upstream.isRunning(process); };
        return skylarkhitch::standin::streamEvents(20, 20ms, options)(request, connection);
    }

    FleetStore& m_store;
    Record& m_record;
    std::mutex m_mutex;
    std::vector<Clock::time_point> m_crashes, m_fatalRequests;
    CrashableUpstream m_upstream;
};

// Three instances, nine engines, and callers of sound requests.
class CrashingSite {
public:
    static constexpr int instanceCount = 3, engineCount = 9;

    explicit CrashingSite(Record&);
    ~CrashingSite();

    // Starts the instances and the callers of sound requests. Returns false if the instances do not become ready.
    bool start(const std::string& sharedParts, int callers = 24);
    // Sends a request of a caller and records the status of its answer if it has the part.
    std::string send(const std::string& route, const std::string& id, const std::string& parts);
    void sendFatal(const std::string& route, const std::string& parts);
    // Ends the callers, and judges. Rule BUDGET: later than contactMs (3000) after the fifth crash, at most three requests with the part
    // reach the engines.
    int finish();
    // Ends the callers, and returns the times of the crashes; nullopt if an instance has ended by itself.
    std::optional<std::vector<Clock::time_point>> finishAndListCrashes();
    int nextId() { return ++m_ids; }

private:
    Record& m_record;
    TemporaryFolder m_folder;
    FleetStore m_store;
    std::deque<Engine> m_engines;
    std::deque<Instance> m_instances;
    std::atomic<bool> m_isOver = false;
    std::atomic<int> m_ids = 0, m_soundSent = 0, m_soundServed = 0;
    std::vector<std::thread> m_callers, m_fatal;
};

}
