#include "core/ledger/ledger_shard.h"

#include "adapters/memory_store.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;

namespace {

// Executes the store calls of a shard against an in-memory store, with fault injection for single calls.
class ShardRunner {
public:
    ShardRunner(MemoryStore& memory, const std::string& writer, LedgerShardSettings settings = {})
        : m_memory(memory)
        , shard(0, writer, settings, calls)
    {
    }

    void append(AppendTicket ticket, LedgerRecord record)
    {
        if (record.at == TimePoint {})
            record.at = now;
        shard.append(ticket, std::move(record), now, out);
        runUntilIdle();
    }

    // Executes pending calls and timers until none is due soon.
    void runUntilIdle()
    {
        for (int n = 0; n < 1000; ++n) {
            auto actions = std::exchange(out, {});
            for (auto& it : actions)
                execute(std::get<StoreCall>(it));
            for (auto& it : shard.takeResults())
                results[it.ticket] = it;
            if (!out.empty())
                continue;
            auto wake = shard.nextWake();
            // The compaction check is periodic and would never end the loop, so only timers within 2 s are waited for.
            if (!wake || *wake > now + Seconds(2))
                return;
            now = std::max(now, *wake);
            shard.wake(now, out);
        }
        FAIL("the shard still has pending calls or timers after 1,000 rounds");
    }

    void execute(const StoreCall& call)
    {
        StoreReply reply;
        bool isSwap = call.operation == StoreOperation::CompareAndSwap;
        if (isSwap && swapsToDrop > 0) {
            --swapsToDrop;
            reply = { call.call, StoreStatus::Unavailable, {} };
        } else {
            m_memory.call(call, [&](StoreReply it) { reply = std::move(it); });
            if (isSwap && repliesToDrop > 0) {
                --repliesToDrop;
                reply = { call.call, StoreStatus::Unavailable, {} };
            }
        }
        now += Milliseconds(3);
        calls.reply(reply, now, out);
    }

    MemoryStore& m_memory;
    StoreCalls calls;
    LedgerShard shard;
    Outbox out;
    TimePoint now { Seconds(1000) };
    int swapsToDrop = 0;
    int repliesToDrop = 0;
    std::map<AppendTicket, AppendResult> results;
};

LedgerRecord claim(const std::string& key, const std::string& request, const std::string& digest = "d")
{
    return { key, {}, Claim { digest, { { "a" }, 1 }, { request } } };
}

LedgerRecord bill(const std::string& key, CostMicros cost)
{
    return { key, {}, Bill { { "team" }, cost, 1, 2, { "v" } } };
}

}

TEST_CASE("the writer of a shard stores records")
{
    MemoryStore memory;
    ShardRunner first(memory, "first/1");

    SECTION("the first claim of a key succeeds and later claims get the existing record")
    {
        first.append(1, claim("k", "r1"));
        CHECK_FALSE(first.results[1].ec);
        first.append(2, claim("k", "r2"));
        CHECK(first.results[2].ec == make_error_code(ErrorKind::CallInFlight));
        REQUIRE(first.results[2].existing);

        SECTION("a claim with another body is rejected as a reused key")
        {
            first.append(3, claim("k", "r3", "other"));
            CHECK(first.results[3].ec == make_error_code(ErrorKind::IdempotencyKeyReused));
        }
        SECTION("a claim after the outcome gets the outcome")
        {
            first.append(3, { "k", {}, Outcome { .status = 201, .body = "done" } });
            first.append(4, claim("k", "r4"));
            REQUIRE(first.results[4].existing);
            CHECK(std::get<Outcome>(first.results[4].existing->entry).body == "done");
        }
        SECTION("after a release the next claim succeeds, and the released request cannot claim again")
        {
            first.append(3, { "k", {}, Release { { "r1" } } });
            first.append(4, claim("k", "r4"));
            CHECK_FALSE(first.results[4].ec);
            first.append(5, claim("other", "r1"));
            CHECK(first.results[5].ec);
        }
    }
    SECTION("two concurrent writers of a shard cannot both commit a claim")
    {
        ShardRunner second(memory, "second/1");
        second.append(1, bill("warm", 1));
        first.append(1, claim("k", "r1"));
        second.append(2, claim("k", "r2"));
        CHECK_FALSE(first.results[1].ec);
        CHECK(second.results[2].ec == make_error_code(ErrorKind::CallInFlight));

        SECTION("a writer with a stale view reads the outcome before it rejects a claim")
        {
            first.append(3, { "k", {}, Outcome { .status = 201 } });
            second.now += Seconds(1);
            second.append(4, claim("k", "r4"));
            REQUIRE(second.results[4].existing);
            CHECK(std::holds_alternative<Outcome>(second.results[4].existing->entry));
        }
    }
    SECTION("a committed swap whose reply was lost is recognized by its batch id and not repeated")
    {
        first.repliesToDrop = 1;
        first.append(1, bill("b", 5));
        CHECK_FALSE(first.results[1].ec);
        CHECK(first.shard.swaps() == 1);
        CHECK(first.shard.index().totals().at({ "team" }).cost == 5);
    }
    SECTION("a swap that did not reach the store is retried")
    {
        first.swapsToDrop = 2;
        first.append(1, bill("b", 5));
        CHECK_FALSE(first.results[1].ec);
        CHECK(first.shard.swaps() == 3);
    }
    SECTION("duplicate bills count once")
    {
        first.append(1, bill("b", 5));
        first.append(2, bill("b", 5));
        ShardRunner second(memory, "second/1");
        second.append(1, bill("b", 5));
        second.append(2, bill("c", 7));
        CHECK_FALSE(second.results[1].ec);
        CHECK(second.shard.index().totals().at({ "team" }).cost == 12);
    }
    SECTION("full segments are sealed and continued in a new segment, which a later writer also reads")
    {
        LedgerShardSettings small;
        small.segmentBytes = 300;
        ShardRunner writer(memory, "writer/1", small);
        for (AppendTicket n = 1; n <= 40; ++n)
            writer.append(n, bill("b" + std::to_string(n), 1));
        CHECK(writer.shard.index().totals().at({ "team" }).cost == 40);
        ShardRunner later(memory, "later/1", small);
        later.append(1, bill("b1", 1));
        later.append(2, bill("new", 1));
        CHECK(later.shard.index().totals().at({ "team" }).cost == 41);
    }
    SECTION("a session pin stays until a higher generation replaces it")
    {
        first.append(1, { "p", {}, SessionPin { { "v1" }, 0 } });
        first.append(2, { "p", {}, SessionPin { { "v2" }, 0 } });
        REQUIRE(first.results[2].existing);
        CHECK(std::get<SessionPin>(first.results[2].existing->entry).version.value == "v1");
        first.append(3, { "p", {}, SessionPin { { "v2" }, 1 } });
        CHECK_FALSE(first.results[3].existing);
    }
}

TEST_CASE("old segments are compacted into totals")
{
    MemoryStore memory;
    LedgerShardSettings settings;
    settings.segmentBytes = 300;
    settings.compaction = { Seconds(100), Seconds(1000) };
    ShardRunner writer(memory, "writer/1", settings);
    auto stamped = [&](LedgerRecord record) {
        record.at = writer.now;
        return record;
    };
    AppendTicket ticket = 0;
    writer.append(++ticket, stamped(claim("call", "r1")));
    writer.append(++ticket, stamped({ "call", {}, Outcome { .status = 201, .body = "done", .bill = Bill { { "team" }, 100, 0, 0, {} } } }));
    for (int n = 0; n < 60; ++n)
        writer.append(++ticket, stamped(bill("b" + std::to_string(n), 1)));
    auto segments = [&] {
        std::size_t n = 0;
        memory.call({ .operation = StoreOperation::List, .key = "ledger/00/" }, [&](const StoreReply& it) { n = it.items.size(); });
        return n;
    };
    auto costFor = [&](const char* name) {
        ShardRunner reader(memory, name, settings);
        reader.now = writer.now;
        reader.append(1, { "probe", reader.now, SessionPin { { "v" }, 0 } });
        return reader.shard.index().totals().at({ "team" }).cost;
    };
    auto segmentsBefore = segments();
    std::string sizes;
    memory.call({ .operation = StoreOperation::List, .key = "ledger/00/" }, [&](const StoreReply& it) {
        for (const auto& item : it.items)
            sizes += item.key + "=" + std::to_string(item.value.size()) + " ";
    });
    INFO(sizes);
    REQUIRE(segmentsBefore > 3);
    CHECK(costFor("first/1") == 160);
    auto compactedBill = stamped(bill("b60", 1));
    writer.append(++ticket, compactedBill);
    auto keyedBill = stamped(bill(billKeyForIdempotencyKey({ "team" }, "own"), 1));
    writer.append(++ticket, keyedBill);
    writer.now += Seconds(200);
    // A swap or reply that is lost at any step of a compaction is recovered by the next compaction.
    auto lossCase = GENERATE(0, 1, 2, 3);
    writer.swapsToDrop = lossCase == 1 || lossCase == 3 ? 1 : 0;
    writer.repliesToDrop = lossCase >= 2 ? 2 : 0;
    for (int n = 0; n < 4; ++n) {
        writer.append(++ticket, stamped(bill("late" + std::to_string(n), 1)));
        writer.now += Seconds(20);
    }
    writer.append(++ticket, stamped(bill("last", 1)));
    CHECK(segments() < segmentsBefore);
    CHECK(writer.shard.index().totals().at({ "team" }).cost == 167);
    CHECK(costFor("second/1") == 167);

    SECTION("a duplicate of a compacted bill is not counted")
    {
        writer.append(++ticket, compactedBill);
        CHECK_FALSE(writer.results[ticket].ec);
        CHECK(costFor("third/1") == 167);
    }
    SECTION("a later bill with the same idempotency key is not counted")
    {
        keyedBill.at = writer.now;
        writer.append(++ticket, keyedBill);
        CHECK(costFor("third/1") == 167);
    }
    SECTION("the outcome of a call is found within the retention window and not after it")
    {
        writer.append(++ticket, stamped(claim("call", "r2")));
        REQUIRE(writer.results[ticket].existing);
        CHECK(std::get<Outcome>(writer.results[ticket].existing->entry).body == "done");
        writer.now += Seconds(2000);
        for (int n = 0; n < 30; ++n) {
            writer.append(++ticket, stamped(bill("more" + std::to_string(n), 1)));
            writer.now += Seconds(20);
        }
        writer.append(++ticket, stamped(claim("call", "r3")));
        CHECK_FALSE(writer.results[ticket].ec);
        CHECK(costFor("fourth/1") == 197);
    }
}

TEST_CASE("a busy shard stays within the write rate limit of the store")
{
    MemoryStore memory;
    ShardRunner runner(memory, "w/1");
    auto begin = runner.now;
    for (AppendTicket n = 1; n <= 300; ++n)
        runner.shard.append(n, bill("b" + std::to_string(n), 1), runner.now, runner.out);
    runner.runUntilIdle();
    CHECK(runner.results.size() == 300);
    auto seconds = std::chrono::duration<double>(runner.now - begin).count();
    CHECK(static_cast<double>(runner.shard.swaps()) <= 1 + seconds / 0.033);
}
