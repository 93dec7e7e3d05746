#pragma once

// Keeps exceptions from leaving functions that must not throw: callbacks of C libraries, and the functions of threads.

#include <cstdint>
#include <exception>
#include <string_view>

namespace skylarkhitch {

// Logs the exception that is being handled, as the line "callback_failed" with the name of the callback, and counts it.
void recordFailedCallback(std::string_view callback) noexcept;

// Callbacks of the process that ended by an exception.
std::int64_t failedCallbacks();

// Runs a function. An exception that leaves it is logged and counted. Returns whether there was none.
template <typename Function>
bool runGuarded(std::string_view callback, Function&& function) noexcept
{
    try {
        function();
        return true;
    } catch (...) {
        recordFailedCallback(callback);
        return false;
    }
}

}
