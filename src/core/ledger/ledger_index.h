#pragma once

// What the records of a shard say about each key: who claimed a call, how it ended, what was billed, which version a
// session keeps. Decides whether a new record may be appended.

#include "core/error_kind.h"
#include "core/ledger/ledger_fold.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <map>

namespace skylarkhitch {

// What stands against a new record, if anything.
struct AppendVerdict {
    enum class Kind { Append,
        // The record, or one as good, is there already.
        AlreadyThere,
        // Another record won; existing holds it.
        Refused };
    Kind kind = Kind::Append;
    std::error_code ec;
    std::optional<LedgerRecord> existing;
};

class LedgerIndex {
public:
    void add(const LedgerRecord&);
    void clear();
    // Starts from the sums of the folded segments.
    void begin(const LedgerTotals&);
    // Forgets the records of a segment that was folded, but for those that were carried on.
    void forget(const LedgerSegment&, const LedgerTotals&);

    // Judges a record against everything that was added so far.
    AppendVerdict judge(const LedgerRecord&) const;

    // Sum of the bills of each team; a bill counts once for its key.
    const std::map<TeamId, Bill>& totals() const { return m_totals; }

private:
    using Records = absl::flat_hash_map<std::string, LedgerRecord>;
    AppendVerdict judgeClaim(const LedgerRecord&, const Claim&) const;

    // A key has few kinds of record, most often a bill alone, so that each kind has a map of its own.
    Records m_claims;
    Records m_outcomes;
    Records m_pins;
    absl::flat_hash_set<std::string> m_billed;
    absl::flat_hash_set<std::string> m_released;
    std::map<TeamId, Bill> m_totals;
    TimePoint m_foldedBefore = TimePoint::min();
};

}
