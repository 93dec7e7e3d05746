// Tests which order and which stage are in force while the store comes back from older copies.

#include "core/membership/store_revision.h"
#include "core/rollout/rollout_orders.h"

#include <catch2/catch.hpp>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

const ServiceId service { "s" };
constexpr TimePoint start { 1000s };

StoredOrder orderAt(std::int64_t revision, std::int64_t era, const std::string& target = "v2") { return { { service, target, 20000ms, revision }, revisionInEra(revision, era) }; }

StoredRecord recordAt(std::int64_t revision, std::int64_t era, std::int64_t order, RolloutStage stage, const std::string& target = "v2")
{
    return { { order, target, stage, start, {} }, revisionInEra(revision, era) };
}

}

// Guards against a roll-out that starts again, or goes back, because the store lost its order or its record.
TEST_CASE("an order that is written again after the store came back is the same order")
{
    using Change = RolloutOrders::OrderChange;
    RolloutOrders orders;
    CHECK(orders.readOrder(orderAt(24, 1), true, start) == Change::New);
    orders.readRecord(service, recordAt(25, 1, 24, RolloutStage::Half));
    orders.all().at(service).isSuspended = true;
    const auto& rollout = orders.all().at(service);

    SECTION("the copy lacks it; it stays in force, and keeps its stage, its start and its verdict")
    {
        orders.orderMissing(service, true, start + 7s);
        orders.recordMissing(service);
        CHECK(orders.isUnderWay(service));
        CHECK(orders.readOrder(orderAt(31, 2), true, start + 8s) == Change::Repeated);
        CHECK(rollout.furthest->stage == RolloutStage::Half);
        CHECK(rollout.appearedAt == start);
        CHECK(rollout.isSuspended);

        SECTION("its record is written for its new revision, until the store confirms that")
        {
            auto record = orders.recordToRestore(service, 2);
            REQUIRE(record);
            CHECK(record->orderRevision == 31);
            CHECK(record->stage == RolloutStage::Half);
            orders.recordWritten(service, *record, 2);
            CHECK_FALSE(orders.recordToRestore(service, 2));
            CHECK(orders.recordToRestore(service, 3));
        }
        SECTION("its next stage is written for the new revision, too, where another instance has written the record")
        {
            orders.readRecord(service, recordAt(32, 2, 31, RolloutStage::Half));
            CHECK_FALSE(orders.recordToRestore(service, 2));
            CHECK(rollout.furthest->orderRevision == 31);
        }
        SECTION("the same order once more in the same era is another one")
        {
            CHECK(orders.readOrder(orderAt(40, 2), true, start + 9s) == Change::New);
            CHECK_FALSE(rollout.furthest);
        }
    }
    SECTION("the copy has it; the operator may write it again all the same")
    {
        CHECK(orders.readOrder(orderAt(24, 2), true, start + 8s) == Change::Repeated);
        CHECK(orders.readOrder(orderAt(33, 2), true, start + 9s) == Change::Repeated);
        CHECK(rollout.appearedAt == start);
    }
    SECTION("the same order long after the return is another one, whether the copy had it or not")
    {
        bool isInCopy = GENERATE(false, true);
        if (isInCopy)
            CHECK(orders.readOrder(orderAt(24, 2), true, start + 8s) == Change::Repeated);
        else
            orders.orderMissing(service, true, start + 8s);
        CHECK(orders.readOrder(orderAt(90, 2), true, start + 8s + RolloutOrders::repetitionTime + 1s) == Change::New);
        CHECK_FALSE(rollout.furthest);
        CHECK_FALSE(rollout.isSuspended);
    }
    SECTION("the copy has an order that this one had replaced; that does not come into force again")
    {
        CHECK(orders.readOrder(orderAt(50, 1, "v3"), true, start + 3s) == Change::New);
        CHECK(orders.readOrder(orderAt(24, 2), true, start + 8s) == Change::Outdated);
        CHECK(rollout.order().target == "v3");
        CHECK(orders.readOrder(orderAt(50, 2, "v3"), true, start + 9s) == Change::Repeated);
        CHECK(rollout.appearedAt == start + 3s);
    }
    SECTION("the copy has an order that was removed since; that does not come into force again")
    {
        orders.orderMissing(service, false, start + 7s);
        CHECK(orders.readOrder(orderAt(24, 2), true, start + 8s) == Change::Outdated);
        CHECK_FALSE(orders.isUnderWay(service));
    }
    SECTION("an order for another release at a revision that is given out again is another one, and does not take its record")
    {
        orders.readRecord(service, recordAt(25, 1, 24, RolloutStage::Completed));
        CHECK(orders.readOrder(orderAt(24, 2, "v4"), true, start + 8s) == Change::New);
        CHECK_FALSE(rollout.furthest);
    }
}

TEST_CASE("a stage never goes back, whatever a copy of the store or a peer says")
{
    RolloutOrders orders;
    orders.readOrder(orderAt(24, 1), true, start);
    auto stage = [&] { return orders.all().at(service).furthest->stage; };

    SECTION("the record in the copy is of an earlier stage")
    {
        orders.readRecord(service, recordAt(30, 1, 24, RolloutStage::Full));
        orders.readOrder(orderAt(24, 2), true, start + 5s);
        orders.readRecord(service, recordAt(25, 2, 24, RolloutStage::Canary));
        CHECK(stage() == RolloutStage::Full);
        CHECK(orders.recordToRestore(service, 2)->stage == RolloutStage::Full);
    }
    SECTION("a write that the old store confirmed counts although it was never read")
    {
        orders.readRecord(service, recordAt(25, 1, 24, RolloutStage::Full));
        orders.recordWritten(service, { 24, "v2", RolloutStage::Completed, start, {} }, 1);
        orders.readOrder(orderAt(24, 2), true, start + 5s);
        orders.readRecord(service, recordAt(25, 2, 24, RolloutStage::Full));
        CHECK(stage() == RolloutStage::Completed);
        CHECK(orders.recordToRestore(service, 2)->stage == RolloutStage::Completed);
    }
    SECTION("a peer that has read the same order knows a later stage")
    {
        orders.readRecord(service, recordAt(25, 1, 24, RolloutStage::Canary));
        CHECK(orders.learn({ service, "v2", revisionInEra(24, 1), RolloutStage::Completed, start }));
        CHECK(stage() == RolloutStage::Completed);
        CHECK_FALSE(orders.learn({ service, "v2", revisionInEra(24, 1), RolloutStage::Half, start }));
        CHECK(stage() == RolloutStage::Completed);
    }
    SECTION("what a peer says of an order at another revision, in another era or for another release is no news")
    {
        CHECK_FALSE(orders.learn({ service, "v2", revisionInEra(23, 1), RolloutStage::Completed, start }));
        CHECK_FALSE(orders.learn({ service, "v2", revisionInEra(24, 2), RolloutStage::Completed, start }));
        CHECK_FALSE(orders.learn({ service, "v3", revisionInEra(24, 1), RolloutStage::Completed, start }));
    }
    SECTION("where two instances ended it differently, the store decides, so that neither writes for ever")
    {
        orders.recordWritten(service, { 24, "v2", RolloutStage::Completed, start, {} }, 1);
        orders.readRecord(service, recordAt(31, 2, 24, RolloutStage::Reverted));
        CHECK(stage() == RolloutStage::Reverted);
        CHECK_FALSE(orders.recordToRestore(service, 2));
    }
}
