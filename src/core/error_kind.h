#pragma once

// The closed list of error kinds and the one table that turns a kind into an answer. Whether a request ran is not
// part of this table: it follows from what was sent (see ran_verdict.h).

#include "core/ids.h"

#include <string_view>
#include <system_error>

namespace skylarkhitch {

enum class ErrorKind {
    None,
    MalformedRequest,
    RequestTooLarge,
    UnknownKey,
    UnknownTarget,
    NotAllowed,
    BadHeader,
    NoSuchPath,
    Overloaded,
    DeadlineUnreachable,
    DeadlineExceeded,
    NoHealthyUpstream,
    UpstreamRejected,
    UpstreamFailed,
    StreamCut,
    StoreUnavailable,
    IdempotencyKeyReused,
    IdempotencyKeyExpired,
    CallInFlight,
    OutcomeUnknown,
    InstanceDraining,
    InstanceCutOff,
    RequestCrashesUpstreams,
    RequestQuarantined,
    EditConflict,
    NotConfigured,
    Internal,
};

// How an error is put to a caller.
struct ErrorAnswer {
    ErrorKind kind;
    // Stable name for programs, e.g. "deadline_unreachable".
    std::string_view name;
    int httpStatus;
    // When a resend may succeed; zero means that a resend of the same request can not help.
    Milliseconds retryAfter;
};

// Looks up the answer for a kind. Every kind has one.
const ErrorAnswer& answerFor(ErrorKind);

// The error category "skylarkhitch"; values are ErrorKind.
const std::error_category& errorCategory();

// The standard library finds this by name. NOLINTNEXTLINE(readability-identifier-naming)
std::error_code make_error_code(ErrorKind);

// The kind carried by an error code; codes of other categories become Internal.
ErrorKind kindOf(const std::error_code&);

}

template <>
struct std::is_error_code_enum<skylarkhitch::ErrorKind> : std::true_type {
};
