// Tests what an instance tells of its memory and descriptors: how they are read, and when they are near their limits.

#include "edge/resource_usage.h"
#include "edge/resource_watch.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>
#include <vector>

using namespace skylarkhitch;

TEST_CASE("the kernel's texts about memory are parsed")
{
    SECTION("resident memory is the second number of pages")
    {
        CHECK(parseResidentBytes("70151 2347 1811 1216 0 9216 0\n", 4096) == 2347 * 4096);
        CHECK(parseResidentBytes("70151 2347", 65536) == 2347 * 65536);
    }
    SECTION("the most so far is the line of its name, in kilobytes")
    {
        CHECK(parsePeakResidentBytes("Name:\tx VmHWM: 5 kB\nVmPeak:\t  280604 kB\nVmHWM:\t    9388 kB\nVmRSS:\t    9380 kB\n") == 9388 * 1024);
        CHECK(parsePeakResidentBytes("VmHWM:\t 0 kB") == 0);
    }
    SECTION("a text of another form gives no value")
    {
        for (const char* it : { "", "\n", "70151", "70151 ", "70151 x 1811", "70151 -4 1811", "70151 99999999999999999999 1", "70151 9223372036854775807 1", "70151 1.5 1" })
            CHECK(parseResidentBytes(it, 4096) == std::nullopt);
        CHECK(parseResidentBytes("70151 2347", -1) == std::nullopt);
        for (const char* it : { "", "VmHWM:", "VmHWM:\t kB", "VmHWM:\t 12", "VmHWM:\t 12 MB\n", "VmHWM:\t -1 kB", "VmHWM:\t 9223372036854775807 kB", "VmRSS:\t 12 kB\n", "Name:\tVmHWM: 12 kB\n" })
            CHECK(parsePeakResidentBytes(it) == std::nullopt);
    }
}

TEST_CASE("the use of the process is read from files that may be missing")
{
    SECTION("memory is read, and the most so far is no less than what is used now")
    {
        std::vector<char> block(std::size_t { 32 } << 20, 'x');
        ResourceReader reader;
        auto resident = reader.residentBytes();
        REQUIRE(resident);
        CHECK(*resident > static_cast<std::int64_t>(block.size()));
        CHECK(reader.peakResidentBytes() >= resident);
    }
    SECTION("each open descriptor counts once, and reading them leaves none open")
    {
        ResourceReader reader;
        auto before = reader.openDescriptors();
        REQUIRE(before);
        CHECK(*before >= 3);
        std::vector<int> files;
        for (int n = 0; n < 100; ++n)
            files.push_back(::open("/dev/null", O_RDONLY | O_CLOEXEC));
        CHECK(reader.openDescriptors() == *before + 100);
        for (auto it : files)
            ::close(it);
        for (int n = 0; n < 10; ++n) {
            (void)reader.residentBytes();
            (void)reader.peakResidentBytes();
        }
        CHECK(reader.openDescriptors() == before);
    }
    SECTION("files that are missing give no values")
    {
        ResourceReader reader("/nonexistent");
        CHECK_FALSE(reader.residentBytes());
        CHECK_FALSE(reader.peakResidentBytes());
        CHECK_FALSE(reader.openDescriptors());
    }
    SECTION("neither do directories in their places, empty files or an empty list")
    {
        std::string directory = absl::StrCat("/tmp/skylarkhitch-resources-", ::getpid());
        std::filesystem::create_directories(directory + "/statm");
        std::filesystem::create_directories(directory + "/fd");
        std::ofstream(directory + "/status").close();
        ResourceReader reader(directory);
        CHECK_FALSE(reader.residentBytes());
        CHECK_FALSE(reader.peakResidentBytes());
        CHECK_FALSE(reader.openDescriptors());
        std::filesystem::remove_all(directory);
    }
}

TEST_CASE("use near a limit is told once")
{
    using Change = ResourceWatch::Change;
    ResourceWatch watch(1000);
    CHECK(watch.update(0) == Change::None);
    CHECK(watch.update(800) == Change::None);
    REQUIRE(watch.update(801) == Change::NearlyExhausted);
    CHECK(watch.percent(801) == 80);

    SECTION("and not again while it stays there, grows or varies a little")
    {
        for (std::int64_t it : { 801, 1000, 5000, 790, 701, 850, 799, 801 })
            CHECK(watch.update(it) == Change::None);
    }
    SECTION("its end is told once, when it is well below")
    {
        CHECK(watch.update(701) == Change::None);
        CHECK(watch.update(700) == Change::Recovered);
        CHECK(watch.update(10) == Change::None);
        CHECK(watch.update(800) == Change::None);
        CHECK(watch.update(900) == Change::NearlyExhausted);
    }
    SECTION("also if the first that is known of it is near the limit")
    {
        ResourceWatch other(1000);
        CHECK(other.update(2000) == Change::NearlyExhausted);
        CHECK(other.percent(2000) == 200);
    }
    SECTION("without a known limit nothing is near it")
    {
        ResourceWatch other(0);
        CHECK(other.update(std::int64_t { 1 } << 60) == Change::None);
    }
    SECTION("large numbers do not wrap around")
    {
        ResourceWatch other(std::int64_t { 1 } << 60);
        CHECK(other.update(std::int64_t { 3 } << 58) == Change::None);
        CHECK(other.update(std::int64_t { 15 } << 56) == Change::NearlyExhausted);
        CHECK(other.percent(std::int64_t { 15 } << 56) == 93);
    }
}
