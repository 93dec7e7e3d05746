#pragma once

// Keeps the quarantines of the site in the platform's store, and reads those of instances that ended, see QuarantineRecords. Runs on the
// control thread, so no request waits for it.

#include "core/limits/crash_guard.h"
#include "core/limits/prompt_part_news.h"
#include "core/limits/quarantine_records.h"
#include "edge/store_client.h"

namespace skylarkhitch {

class QuarantineKeeper {
public:
    // onParts is called with each quarantine of prompt parts that the store holds and that was not read before.
    QuarantineKeeper(EventLoop&, StoreClient&, EdgeMetrics&, std::function<void(QuarantinedParts)> onParts);

    // Called when a record changed; the item is null if it was removed.
    void recordChanged(const std::string& name, const StoreMirror::Item*);
    // Replaces the crashes that a process, this one or that of a peer, has recorded.
    void learnCrashes(const Incarnation& from, const std::map<std::string, std::int64_t>& crashes, TimePoint now) { m_crashes.learn(from, crashes, now); }
    // Takes over the quarantines of prompt parts that the traffic thread knows.
    void setParts(std::vector<QuarantinedParts> parts, TimePoint now);
    // Starts the write that is due, if there is one. Must be called regularly. Of all instances, one is to write.
    void advance(bool isWriter, TimePoint now);

    // Fingerprints of the requests that the store names.
    const std::set<std::string>& requests() const { return m_requests; }
    // Updates requests(). Returns whether that changed it.
    bool updateRequests(TimePoint now);
    void publishMetrics() const;

private:
    using Write = QuarantineRecords::Write;

    // What the instances know from crashes.
    std::vector<QuarantineRecord> held(TimePoint now) const;
    Awaitable<void> write(Write);
    // The write itself. An exception may leave it.
    Awaitable<bool> tryToWrite(const Write&);

    EventLoop& m_loop;
    StoreClient& m_store;
    EdgeMetrics& m_metrics;
    std::function<void(QuarantinedParts)> m_onParts;
    QuarantineRecords m_records;
    CrashGuard m_crashes;
    std::vector<QuarantinedParts> m_parts;
    TimePoint m_partsAt {};
    std::set<std::string> m_requests;
    std::int64_t m_loggedNotKept = 0;
    bool m_isWriting = false;
};

}
