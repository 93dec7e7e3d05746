#pragma once

// Check macros that take a streamed message. USAGE_CHECK validates the arguments of an interface and throws
// UsageError. INTERNAL_CHECK validates an internal invariant and aborts the process, because continuing after a
// violation could execute a call or charge a team twice.

#include <sstream>
#include <stdexcept>
#include <string>

namespace skylarkhitch {

// Thrown when a function is called in violation of its preconditions.
class UsageError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

namespace Internal {

    // Accumulates a message and throws it as a UsageError at the end of the full expression.
    class UsageErrorReport {
    public:
        std::ostream& stream() { return m_stream; }
        ~UsageErrorReport() noexcept(false) { throw UsageError(m_stream.str()); }

    private:
        std::ostringstream m_stream;
    };

    // Accumulates a message, writes it to standard error as a log line and aborts at the end of the full expression.
    class InvariantReport {
    public:
        InvariantReport(const char* file, int line, const char* condition);
        std::ostream& stream() { return m_stream; }
        ~InvariantReport();

    private:
        std::ostringstream m_stream;
    };

}

#define USAGE_CHECK(condition) \
    if (condition) {           \
    } else                     \
        ::skylarkhitch::Internal::UsageErrorReport().stream()

#define INTERNAL_CHECK(condition) \
    if (condition) {              \
    } else                        \
        ::skylarkhitch::Internal::InvariantReport(__FILE__, __LINE__, #condition).stream()

}
