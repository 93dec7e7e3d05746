#pragma once

// In-memory index of a shard's records by key: the claim and outcome of a call, whether it was billed, and the version
// that a session is pinned to. Decides whether a new record may be appended.

#include "core/error_kind.h"
#include "core/ledger/ledger_compaction.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <map>

namespace skylarkhitch {

// Whether a new record may be appended and, if not, why.
struct AppendDecision {
    enum class Kind { Append,
        // The record, or an equivalent one, is already in the ledger.
        Duplicate,
        // An earlier record rules it out. existing holds that record, unless the request's claim was released.
        Refused };
    Kind kind = Kind::Append;
    std::error_code ec;
    std::optional<LedgerRecord> existing;
};

class LedgerIndex {
public:
    void add(const LedgerRecord&);
    void clear();
    // Sets the totals of the compacted segments as the starting point.
    void begin(const LedgerTotals&);
    // Removes all records of a compacted segment. The caller adds the retained ones again.
    void removeSegment(const LedgerSegment&, const LedgerTotals&);

    // Checks a record against everything that was added so far.
    AppendDecision decideAppend(const LedgerRecord&) const;

    // Total of each team's bills. Bills with the same key count once.
    const std::map<TeamId, Bill>& totals() const { return m_totals; }

private:
    using Records = absl::flat_hash_map<std::string, LedgerRecord>;
    AppendDecision decideClaim(const LedgerRecord&, const Claim&) const;

    // One container for each kind of record, since most keys only have a bill.
    Records m_claims;
    Records m_outcomes;
    Records m_pins;
    absl::flat_hash_set<std::string> m_billed;
    absl::flat_hash_set<std::string> m_released;
    std::map<TeamId, Bill> m_totals;
    TimePoint m_compactedUntil = TimePoint::min();
};

}
