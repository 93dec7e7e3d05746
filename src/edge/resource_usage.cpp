#include "edge/resource_usage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fcntl.h>
#include <filesystem>
#include <limits>
#include <unistd.h>

namespace skylarkhitch {

namespace {

    constexpr std::int64_t bytesPerKilobyte = 1024;
    constexpr std::size_t maxTextBytes = 4096;

    constexpr std::string_view blanks = " \t\n";

    // Takes the first word off the text; it is empty if there is none.
    std::string_view takeWord(std::string_view& text)
    {
        text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
        auto word = text.substr(0, text.find_first_of(blanks));
        text.remove_prefix(word.size());
        return word;
    }

    std::optional<std::int64_t> parseCount(std::string_view word, std::int64_t unitBytes)
    {
        std::int64_t n = 0;
        auto [end, ec] = std::from_chars(word.data(), word.data() + word.size(), n);
        bool isCount = ec == std::errc {} && end == word.data() + word.size() && n >= 0 && n <= std::numeric_limits<std::int64_t>::max() / unitBytes;
        return isCount ? std::optional(n * unitBytes) : std::nullopt;
    }

    // The start of a file, or an empty text if it cannot be read. The kernel writes the text of a file of /proc at its first read.
    std::string readText(const std::string& path)
    {
        auto file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
        if (file < 0)
            return {};
        std::array<char, maxTextBytes> buf;
        auto n = ::read(file, buf.data(), buf.size());
        ::close(file);
        return n > 0 ? std::string(buf.data(), static_cast<std::size_t>(n)) : std::string();
    }

}

std::optional<std::int64_t> parseResidentBytes(std::string_view statm, std::int64_t pageBytes)
{
    takeWord(statm);
    return pageBytes > 0 ? parseCount(takeWord(statm), pageBytes) : std::nullopt;
}

std::optional<std::int64_t> parsePeakResidentBytes(std::string_view status)
{
    constexpr std::string_view name = "VmHWM:";
    while (!status.empty()) {
        auto line = status.substr(0, status.find('\n'));
        status.remove_prefix(std::min(line.size() + 1, status.size()));
        if (takeWord(line) != name)
            continue;
        auto kilobytes = parseCount(takeWord(line), bytesPerKilobyte);
        return takeWord(line) == "kB" ? kilobytes : std::nullopt;
    }
    return std::nullopt;
}

std::optional<std::int64_t> ResourceReader::residentBytes() const
{
    return parseResidentBytes(readText(m_directory + "/statm"), ::sysconf(_SC_PAGESIZE));
}

// Not ru_maxrss of getrusage(): that includes the memory of the program which the process ran before this one.
std::optional<std::int64_t> ResourceReader::peakResidentBytes() const
{
    return parsePeakResidentBytes(readText(m_directory + "/status"));
}

std::optional<std::int64_t> ResourceReader::openDescriptors() const
{
    std::error_code ec;
    std::int64_t count = 0;
    for (std::filesystem::directory_iterator it(m_directory + "/fd", ec), end; !ec && it != end; it.increment(ec))
        ++count;
    // One of them was open for the listing only.
    return ec || count == 0 ? std::nullopt : std::optional(count - 1);
}

}
