// Tests which requests and responses an instance has memory and descriptors for, without a network.

#include "core/limits/descriptor_budget.h"
#include "core/limits/instance_memory.h"
#include "core/limits/refusal_episode.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace skylarkhitch;
using namespace std::chrono_literals;

namespace {

using Use = InstanceMemory::Use;

constexpr std::int64_t mebibyte = std::int64_t { 1 } << 20;
// The usual limit on bodies.
constexpr std::size_t longBytes = std::size_t { 4 } << 20;
constexpr std::size_t smallBytes = InstanceMemory::requestBytes + 800;

// Adds shares of a size until one does not fit, and returns their number.
std::size_t fill(std::deque<InstanceMemory::Share>& shares, const std::shared_ptr<InstanceMemory>& memory, Use use, std::size_t bytes, std::size_t most = 100000)
{
    std::size_t n = 0;
    for (; n < most; ++n) {
        InstanceMemory::Share share(memory, use);
        if (!share.set(bytes))
            break;
        shares.push_back(std::move(share));
    }
    return n;
}

}

TEST_CASE("the budget leaves room for the process itself")
{
    CHECK(InstanceMemory::budgetFor(0) == 0);
    for (std::int64_t megabytes : { 2, 40, 64, 88, 110, 260, 512 }) {
        auto budget = static_cast<std::int64_t>(InstanceMemory::budgetFor(megabytes * mebibyte));
        CAPTURE(megabytes, budget);
        CHECK(budget >= megabytes * mebibyte / 4);
        CHECK(budget <= megabytes * mebibyte * 3 / 4);
        CHECK((megabytes < 64 || megabytes * mebibyte - budget >= 28 * mebibyte));
    }
}

TEST_CASE("crowds of callers stay within the memory of the smallest machine")
{
    auto memory = std::make_shared<InstanceMemory>(InstanceMemory::budgetFor(88 * mebibyte));
    std::deque<InstanceMemory::Share> shares;

    // Guards against a burst of bodies at the limit from many callers at once.
    SECTION("64 bodies at the limit: some are accepted, and the others are refused")
    {
        auto accepted = fill(shares, memory, Use::Request, longBytes, 64);
        CHECK(accepted >= 2);
        CHECK(accepted < 64);
        CHECK(memory->refusals() == 1);
        SECTION("while hundreds of small requests are accepted, with their responses")
        {
            CHECK(fill(shares, memory, Use::Request, smallBytes, 200) == 200);
            CHECK(fill(shares, memory, Use::Response, 800, 200) == 200);
        }
        SECTION("while a long response of an accepted request has room")
        {
            fill(shares, memory, Use::Request, smallBytes);
            CHECK(fill(shares, memory, Use::Response, longBytes, 1) == 1);
        }
        SECTION("until one of the accepted ones has ended")
        {
            shares.pop_front();
            CHECK(fill(shares, memory, Use::Request, longBytes) == 1);
        }
    }
    SECTION("chunked bodies that grow together stop growing")
    {
        for (int n = 0; n < 64; ++n)
            shares.emplace_back(memory, Use::Request);
        for (std::size_t bytes = 0; bytes < longBytes; bytes += 16384) {
            for (auto& it : shares)
                it.set(bytes);
        }
        CHECK(memory->held() <= memory->budget());
        CHECK(memory->refusals() > 0);
    }
    // Guards against thousands of callers that each take little.
    SECTION("connections, small requests and responses without end never exceed the budget")
    {
        fill(shares, memory, Use::Request, InstanceMemory::connectionBytes);
        fill(shares, memory, Use::Request, longBytes);
        fill(shares, memory, Use::Request, smallBytes);
        fill(shares, memory, Use::Response, longBytes);
        fill(shares, memory, Use::Response, 65536);
        CHECK(memory->held() <= memory->budget());
    }
    SECTION("what was held is returned")
    {
        fill(shares, memory, Use::Request, longBytes);
        fill(shares, memory, Use::Response, 65536);
        shares.clear();
        CHECK(memory->held() == 0);
        CHECK(fill(shares, memory, Use::Request, longBytes) >= 2);
    }
    SECTION("a share that does not fit keeps its earlier size")
    {
        InstanceMemory::Share first(memory, Use::Request), second(memory, Use::Request);
        REQUIRE(first.set(longBytes));
        REQUIRE(second.set(smallBytes));
        CHECK_FALSE(second.set(memory->budget()));
        CHECK(memory->held() == longBytes + smallBytes);
        CHECK(memory->refusals() == 1);
    }
}

// Guards against a request inside the limits that no instance of a site of small machines ever serves.
TEST_CASE("a single long request is accepted in calm, whatever part of the budget it takes")
{
    auto memory = std::make_shared<InstanceMemory>(longBytes / 2);
    InstanceMemory::Share first(memory, Use::Request), second(memory, Use::Request);
    REQUIRE(first.set(longBytes));
    CHECK(first.set(longBytes + 1));
    CHECK_FALSE(second.set(longBytes));
    first.hold(0);
    CHECK(second.set(longBytes));
}

TEST_CASE("without a limit everything fits, and is counted")
{
    auto memory = std::make_shared<InstanceMemory>(0);
    std::deque<InstanceMemory::Share> shares;
    CHECK(fill(shares, memory, Use::Request, longBytes, 1000) == 1000);
    CHECK(memory->held() == 1000 * longBytes);
}

TEST_CASE("callers leave descriptors for upstreams")
{
    SECTION("no limit is known")
    {
        CHECK(DescriptorBudget::forCallers(0).allows(1'000'000, 1'000'000));
    }
    SECTION("on a machine with 4,100 descriptors")
    {
        constexpr std::int64_t limit = 4100;
        auto budget = DescriptorBudget::forCallers(limit);
        CHECK(budget.allows(2000, 500));
        CHECK(budget.allows(800, 800));
        // Each request in service may hold two connections to upstreams.
        std::int64_t idle = 0, served = 0;
        while (budget.allows(idle + 1, 0))
            ++idle;
        while (budget.allows(served + 1, served + 1))
            ++served;
        CHECK(idle < limit * 4 / 5);
        CHECK(3 * served < limit * 4 / 5);
    }
    SECTION("requests of the platform and of peers open none")
    {
        CHECK(DescriptorBudget::forPlatform(4100).allows(250, 250));
        CHECK_FALSE(DescriptorBudget::forPlatform(4100).allows(300, 0));
    }
    SECTION("a limit that is too low still lets a caller be served")
    {
        CHECK(DescriptorBudget::forCallers(6).allows(1, 1));
        CHECK(DescriptorBudget::forPlatform(6).allows(1, 1));
    }
}

TEST_CASE("refusals that follow each other are one episode")
{
    using Change = RefusalEpisode::Change;
    RefusalEpisode episode;
    TimePoint now {};
    now += 1h;
    CHECK(episode.update(0, now) == Change::None);
    CHECK(episode.update(3, now) == Change::Began);
    CHECK(episode.update(5, now + 1s) == Change::None);
    CHECK(episode.update(5, now + 2500ms) == Change::None);
    CHECK(episode.update(5, now + 3s) == Change::Ended);
    CHECK(episode.update(5, now + 9s) == Change::None);
    CHECK(episode.update(6, now + 10s) == Change::Began);
}
