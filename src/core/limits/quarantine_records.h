#pragma once

// Decides which quarantines the platform's store holds, so that a site whose instances are all killed at once still knows which
// requests and which prompt parts crash upstreams. One instance writes each quarantine once, when it begins, and removes it when it
// ends before its lease does. The records are bounded in number and in rate, since other writes share the store's limit.

#include "core/ids.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkhitch {

// A quarantine as the store holds it: of the requests with a fingerprint, or of prompt parts.
struct QuarantineRecord {
    // Of the requests; empty for prompt parts.
    std::string fingerprint;
    // In order; empty for requests.
    std::vector<std::string> parts;
    std::int64_t crashes = 0;
    // Requests that were sent nevertheless, and crashes of those with some of the parts.
    std::int64_t probes = 0;
    std::int64_t trialCrashes = 0;
    // When it began, and when the last probe was sent, in wall-clock time.
    TimePoint startedAt {};
    TimePoint probedAt {};

    bool isOfRequests() const { return !fingerprint.empty(); }
    // Identifies the quarantine among all others.
    std::string name() const;
    // How long the record lasts in the store.
    Seconds lifetime() const;

    friend bool operator==(const QuarantineRecord&, const QuarantineRecord&) = default;
};

class QuarantineRecords {
public:
    // Most records of each kind that the store holds, and most parts of one. Further quarantines are kept in memory only.
    static constexpr std::size_t maxRecords = 32;
    static constexpr std::size_t maxParts = 64;
    // Shortest time between two writes of an instance, and pause after one that failed.
    static constexpr Milliseconds writePeriod { 250 };
    static constexpr Milliseconds retryPause { 1000 };
    // Time within which the result of a write is seen in the copy of the store; after that it may be written again.
    static constexpr Milliseconds visibleTime { 5000 };
    // How long it is remembered that a quarantine was known here.
    static constexpr Seconds heldMemory { 600 };

    // A write that is due. Without a record, the one of that name is removed.
    struct Write {
        std::string name;
        std::optional<QuarantineRecord> record;
        // The revision of the record that it replaces or removes; 0 if there must be none.
        std::int64_t revision = 0;
    };

    // Takes over what the store holds under the name. Returns false if that is known already.
    bool read(const std::string& name, const QuarantineRecord&, std::int64_t revision, TimePoint now);
    void removed(const std::string& name) { m_stored.erase(name); }
    // Replaces the quarantines that the live instances know from crashes.
    void hold(std::vector<QuarantineRecord>, TimePoint now);

    // Returns the next write, at most one each writePeriod.
    std::optional<Write> nextWrite(TimePoint now);
    // Reports the end of that write.
    void written(const Write&, bool isOk, TimePoint now);

    // Fingerprints of the requests that are refused because of the records. Each counts for as long as its lease lasts, also if that
    // does not end in an outage of the store.
    std::set<std::string> requests(TimePoint now) const;
    // Number of records that the store holds.
    std::size_t size() const { return m_stored.size(); }
    // Number of quarantines that were not written because there were too many.
    std::int64_t notKept() const { return m_notKept; }

private:
    struct Stored {
        QuarantineRecord record;
        std::int64_t revision = 0;
        TimePoint readAt;
    };
    // Whether the store holds as many records of the kind as it may.
    bool isFull(bool isOfRequests) const;
    bool isSettling(const std::string& name, TimePoint now) const;
    bool isTooLarge(const QuarantineRecord& it) const { return it.parts.size() > maxParts || isFull(it.isOfRequests()); }
    // Whether a record says less than is known.
    static bool isOutdated(const QuarantineRecord& stored, const QuarantineRecord& held);

    std::map<std::string, Stored> m_stored;
    std::map<std::string, QuarantineRecord> m_held;
    // When each quarantine was last known from crashes. Only what was known here and is no longer has ended.
    std::map<std::string, TimePoint> m_heldAt;
    // Writes whose result is not seen yet.
    std::map<std::string, TimePoint> m_settling;
    // Quarantines that were counted as not kept.
    std::set<std::string> m_skipped;
    TimePoint m_nextWriteAt {};
    std::int64_t m_notKept = 0;
};

}
