#include "adapters/callback_guard.h"

#include "adapters/log.h"

#include <atomic>

namespace skylarkhitch {

namespace {

    // Limit of the error's text in a line, in bytes.
    constexpr std::size_t maxErrorBytes = 256;

    std::atomic<std::int64_t> failures = 0;

    void logFailure(std::string_view callback, std::string_view error)
    {
        LogLine(LogLevel::Error, "callback_failed").with("callback", callback).with("error", error.substr(0, maxErrorBytes));
    }

}

void recordFailedCallback(std::string_view callback) noexcept
{
    ++failures;
    // If the line cannot be written, the count tells of the failure.
    try {
        try {
            throw;
        } catch (const std::exception& e) {
            logFailure(callback, e.what());
        } catch (...) {
            logFailure(callback, "not a standard exception");
        }
    } catch (...) {
        return;
    }
}

std::int64_t failedCallbacks() { return failures; }

}
