#pragma once

// In-memory index of a shard's records by key: the claim and outcome of a call, whether a bill is recorded, and the version
// that a session is pinned to. Decides whether a new record may be appended, and sums up the bills of each team.

#include "core/error_kind.h"
#include "core/ledger/ledger_compaction.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <map>

namespace skylarkhitch {

// Whether a new record may be appended and, if not, why.
struct AppendDecision {
    enum class Kind { Append,
        // The record is already in the ledger, or an earlier one takes precedence. The append succeeds without writing
        // anything. For a pin, existing holds the earlier pin.
        Duplicate,
        // For claims only. If another request has claimed the key, existing holds its claim, or the outcome if there is one
        // and both requests have the same body. If the request has released its claim, existing is empty.
        Refused };
    Kind kind = Kind::Append;
    std::error_code ec;
    std::optional<LedgerRecord> existing;
};

class LedgerIndex {
public:
    void add(const LedgerRecord&);
    void clear();
    // Initializes the bill totals from those of the compacted segments. To be called after clear(), before any add().
    void begin(const LedgerTotals&);
    // Removes all records of a segment that the given totals now include; totals() does not change. The caller adds the
    // retained records again, without their charges.
    void removeSegment(const LedgerSegment&, const LedgerTotals&);

    // Decides whether a record may be appended after all records that were added so far.
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
