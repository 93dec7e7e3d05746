#pragma once

// Memory and descriptors that the process uses, as the kernel states them in /proc, and the limits that the settings state.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkhitch {

// What a machine allows a process to use; 0 if it is not known.
struct ResourceLimits {
    std::int64_t memoryBytes = 0;
    std::int64_t descriptors = 0;
};

// Returns the resident bytes that a /proc/PID/statm states, or nullopt if the text has another form.
std::optional<std::int64_t> parseResidentBytes(std::string_view statm, std::int64_t pageBytes);
// Returns the most resident bytes so far that a /proc/PID/status states, or nullopt if it does not state them.
std::optional<std::int64_t> parsePeakResidentBytes(std::string_view status);

// Reads the usage of the process. Each function returns nullopt if its file is missing, unreadable or of another form.
class ResourceReader {
public:
    explicit ResourceReader(std::string directory = "/proc/self")
        : m_directory(std::move(directory))
    {
    }

    std::optional<std::int64_t> residentBytes() const;
    // The most since the program was started.
    std::optional<std::int64_t> peakResidentBytes() const;
    // Takes time in proportion to the number of open descriptors.
    std::optional<std::int64_t> openDescriptors() const;

private:
    std::string m_directory;
};

}
