// Tests which quarantines are written to the store and removed from it, and how the records are read.

#include "core/limits/crash_guard.h"
#include "core/limits/prompt_part_guard.h"
#include "core/limits/quarantine_records.h"
#include "platform/store_codec.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

const auto startTime = TimePoint {} + 1h;
const QuarantineRecord booking { .fingerprint = "9cae9197a321be0", .crashes = 2, .startedAt = startTime };
const QuarantineRecord parts { .parts = { "5ab1", "dead0" }, .crashes = 3, .startedAt = startTime };

// The records of one instance, and the store that it writes to.
struct RecordingInstance {
    QuarantineRecords records;
    std::int64_t revision = 10;
    TimePoint now = startTime;

    // Makes all writes that are due within the time, and returns them. The copy of the store follows at once if it is not late.
    std::vector<QuarantineRecords::Write> write(Milliseconds time, bool isOk = true, bool isLate = false)
    {
        std::vector<QuarantineRecords::Write> writes;
        for (auto end = now + time; now < end; now += 50ms) {
            auto due = records.nextWrite(now);
            if (!due)
                continue;
            records.written(*due, isOk, now);
            if (isOk && !isLate)
                show(*due);
            writes.push_back(*due);
        }
        return writes;
    }
    void show(const QuarantineRecords::Write& it)
    {
        if (it.record)
            records.read(it.name, *it.record, ++revision, now);
        else
            records.removed(it.name);
    }
    void hold(std::vector<QuarantineRecord> held) { records.hold(std::move(held), now); }
};

std::vector<QuarantineRecord> manyRequests(int count)
{
    std::vector<QuarantineRecord> held;
    for (int n = 0; n < count; ++n)
        held.push_back({ .fingerprint = absl::StrCat("a", n), .crashes = 2, .startedAt = startTime });
    return held;
}

}

// Guards against calls to the store for each instance, or for each heartbeat, of which all pay.
TEST_CASE("a quarantine is written once, when it begins")
{
    RecordingInstance it;
    it.hold({ booking });
    auto writes = it.write(1s);
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].name == "request/9cae9197a321be0");
    CHECK(writes[0].record == booking);
    CHECK(writes[0].revision == 0);
    CHECK(it.records.requests(it.now) == std::set<std::string> { booking.fingerprint });
    it.hold({ booking });
    CHECK(it.write(10s).empty());

    SECTION("and once if the copy of the store follows late")
    {
        RecordingInstance late;
        late.hold({ booking });
        CHECK(late.write(4s, true, true).size() == 1);
    }
    SECTION("by one instance: another one that reads it has nothing to write")
    {
        RecordingInstance other;
        other.records.read(booking.name(), booking, 7, other.now);
        other.hold({ booking });
        CHECK(other.write(10s).empty());
    }
    SECTION("and again if it did not arrive, after a pause")
    {
        RecordingInstance failing;
        failing.hold({ booking });
        CHECK(failing.write(2950ms, false).size() == 3);
        CHECK(failing.write(1s).size() == 1);
    }
    SECTION("that of prompt parts is written again when a probe was sent, so that its pause is known")
    {
        it.hold({ booking, parts });
        CHECK(it.write(1s).size() == 1);
        auto probed = parts;
        probed.probes = 1;
        probed.probedAt = it.now;
        it.hold({ booking, probed });
        auto again = it.write(1s);
        REQUIRE(again.size() == 1);
        CHECK(again[0].record == probed);
    }
}

// Guards against requests that are refused although their quarantine has ended.
TEST_CASE("the record of a quarantine that ends is removed")
{
    RecordingInstance it;
    it.hold({ booking });
    it.write(1s);
    it.hold({});
    auto writes = it.write(1s);
    REQUIRE(writes.size() == 1);
    CHECK_FALSE(writes[0].record);
    CHECK(writes[0].name == booking.name());
    CHECK(writes[0].revision == it.revision);
    CHECK(it.records.requests(it.now).empty());

    SECTION("once more if an older copy of the store brings it back")
    {
        it.records.read(booking.name(), booking, 7, it.now);
        CHECK(it.write(6s).size() == 1);
        CHECK(it.records.requests(it.now).empty());
    }
    SECTION("but not by an instance that never knew it, such as one that was just started")
    {
        RecordingInstance started;
        started.records.read(booking.name(), booking, 7, started.now);
        started.hold({});
        CHECK(started.write(10s).empty());
        CHECK(started.records.requests(started.now).size() == 1);
    }
    SECTION("and without a removal no record counts for longer than it was written for")
    {
        RecordingInstance started;
        started.records.read(booking.name(), booking, 7, started.now);
        CHECK(started.records.requests(started.now + CrashGuard::retention - 1ms).size() == 1);
        CHECK(started.records.requests(started.now + CrashGuard::retention).empty());
        started.records.read(booking.name(), booking, 8, started.now + 60s);
        CHECK(started.records.requests(started.now + CrashGuard::retention).empty());
    }
}

// Guards against a caller with many such requests whose records leave no room for the writes of a roll-out or for leases.
TEST_CASE("the records are bounded in number and in rate")
{
    RecordingInstance it;
    it.hold(manyRequests(100));
    CHECK(it.write(2s).size() <= static_cast<std::size_t>(2s / QuarantineRecords::writePeriod));
    it.write(60s);
    CHECK(it.records.size() == QuarantineRecords::maxRecords);
    CHECK(it.records.notKept() == 100 - static_cast<std::int64_t>(QuarantineRecords::maxRecords));

    SECTION("and those of requests take no room from those of prompt parts")
    {
        auto held = manyRequests(100);
        held.push_back(parts);
        it.hold(held);
        auto writes = it.write(1s);
        REQUIRE(writes.size() == 1);
        CHECK(writes[0].record == parts);
    }
    SECTION("a quarantine of too many parts is not written")
    {
        QuarantineRecord large { .crashes = 2, .startedAt = startTime };
        for (std::size_t n = 0; n <= QuarantineRecords::maxParts; ++n)
            large.parts.push_back(absl::StrCat("p", n));
        RecordingInstance other;
        other.hold({ large });
        CHECK(other.write(1s).empty());
        CHECK(other.records.notKept() == 1);
    }
}

// Guards against entries of other writers that stop a start or refuse sound requests, and against a quarantine that changes on its way.
TEST_CASE("a record is read as it was written")
{
    const QuarantineRecord probed { .parts = { "a" }, .crashes = 7, .probes = 2, .trialCrashes = 1, .startedAt = startTime, .probedAt = startTime + 30s };
    auto record = std::vector { booking, parts, probed }[GENERATE(range(0UL, 3UL))];
    auto transaction = platform::quarantineTransaction({ record.name(), record, 12 }, 34);
    REQUIRE(transaction.puts.size() == 1);
    REQUIRE(transaction.expected.size() == 1);
    CHECK(transaction.expected[0].revision == 12);
    CHECK(transaction.puts[0].lease == 34);
    auto key = platform::decodeDocumentKey(transaction.puts[0].key);
    CHECK(key.kind == platform::DocumentKind::Quarantine);
    CHECK(key.name == record.name());
    platform::DecodeError error;
    CHECK(platform::decodeQuarantine(key.name, transaction.puts[0].value, error) == record);
    CHECK(error.message.empty());

    SECTION("and removed by its key")
    {
        auto removal = platform::quarantineTransaction({ record.name(), std::nullopt, 12 }, 0);
        CHECK(removal.puts.empty());
        CHECK(removal.removals == std::vector<std::string> { transaction.puts[0].key });
    }
}

// Guards against the same.
TEST_CASE("odd records of other writers are not taken over")
{
    auto read = [](const std::string& name, const std::string& value) {
        platform::DecodeError error;
        auto record = platform::decodeQuarantine(name, value, error);
        CHECK((!error.message.empty() || record));
        return record;
    };
    std::string value = R"({"crashes":2,"started":3600000000,"parts":["5ab1","dead0"]})";
    REQUIRE(read(parts.name(), value));
    SECTION("a name that is no fingerprint refuses nothing")
    {
        for (std::string name : { "", "request", "request/", "request/xyz", "request/9cae9197a321be09cae9197a321be0", "request/9c/ae", "parts/", "other/9cae" })
            CHECK_FALSE(read(name, value));
    }
    SECTION("parts under the name of others are not taken over")
    {
        CHECK_FALSE(read("parts/1234", value));
        CHECK_FALSE(read(parts.name(), R"({"crashes":2,"started":1,"parts":["5ab1"]})"));
    }
    SECTION("values that cannot be read hide no request that is known to crash upstreams, and no parts are made up")
    {
        for (std::string odd : { "", "{", "[]", "7", R"({"crashes":"many","started":1})", R"({"crashes":1e300,"started":-1})", R"({"crashes":2,"started":1,"parts":[7]})", R"({"crashes":2,"started":1,"parts":{}})" }) {
            CAPTURE(odd);
            CHECK_FALSE(read(parts.name(), odd));
            CHECK(read(booking.name(), odd));
        }
    }
}
