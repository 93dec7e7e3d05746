#pragma once

// Revisions of the store that are comparable although the store may come back from an older copy and give out revisions again.
// Each return begins an era, whose number is the upper part of a revision here. The store itself knows only the lower part.

#include <cstdint>

namespace skylarkhitch {

constexpr int storeEraShift = 40;
// The highest era that fits into a revision here.
constexpr std::int64_t maxStoreEra = (std::int64_t { 1 } << (62 - storeEraShift)) - 1;

// The highest revision that the store may have, and the highest one in any era.
constexpr std::int64_t maxStoreRevision = (std::int64_t { 1 } << storeEraShift) - 1;
constexpr std::int64_t maxRevision = (maxStoreEra << storeEraShift) + maxStoreRevision;

constexpr std::int64_t revisionInEra(std::int64_t revision, std::int64_t era) { return (era << storeEraShift) + revision; }
constexpr std::int64_t eraOf(std::int64_t revision) { return revision >> storeEraShift; }
// The revision as the store knows it.
constexpr std::int64_t storeRevision(std::int64_t revision) { return revision & ((std::int64_t { 1 } << storeEraShift) - 1); }

}
