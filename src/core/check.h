#pragma once

// Two streamed checks. CALLER_CHECK guards what a user of an interface hands in and throws CallerError;
// INTERNAL_CHECK guards what the code itself promises and ends the process, since continuing could double a
// booking or a charge. Both take a message that says what was seen.

#include <sstream>
#include <stdexcept>
#include <string>

namespace skylarkhitch {

// Raised when a caller of a function breaks the function's stated terms.
class CallerError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

namespace Internal {

    // Collects a message and throws it as a CallerError when the full expression ends.
    class CallerReport {
    public:
        std::ostream& stream() { return m_stream; }
        ~CallerReport() noexcept(false) { throw CallerError(m_stream.str()); }

    private:
        std::ostringstream m_stream;
    };

    // Collects a message, writes it to standard error and aborts when the full expression ends.
    class InvariantReport {
    public:
        InvariantReport(const char* file, int line, const char* condition);
        std::ostream& stream() { return m_stream; }
        ~InvariantReport();

    private:
        std::ostringstream m_stream;
    };

}

#define CALLER_CHECK(condition) \
    if (condition) {            \
    } else                      \
        ::skylarkhitch::Internal::CallerReport().stream()

#define INTERNAL_CHECK(condition) \
    if (condition) {              \
    } else                        \
        ::skylarkhitch::Internal::InvariantReport(__FILE__, __LINE__, #condition).stream()

}
