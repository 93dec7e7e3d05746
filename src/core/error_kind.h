#pragma once

// The closed set of error kinds, and the single table that maps each kind to the response sent to the caller. Whether a
// request was executed is not part of the table: it depends on the attempts that were sent (see ExecutionTracker).

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

// How an error is reported to a caller.
struct ErrorInfo {
    ErrorKind kind;
    // Stable machine-readable name, e.g. "deadline_unreachable".
    std::string_view name;
    int httpStatus;
    // Delay after which a retry may succeed; zero if retrying the same request cannot succeed.
    Milliseconds retryAfter;
};

// Returns the table entry for a kind. Every kind has one.
const ErrorInfo& errorInfo(ErrorKind);

// The error category "skylarkhitch"; its values are those of ErrorKind.
const std::error_category& errorCategory();

// Found by std::error_code through argument-dependent lookup. NOLINTNEXTLINE(readability-identifier-naming)
std::error_code make_error_code(ErrorKind);

// The kind held by an error code; codes of other categories map to Internal.
ErrorKind kindOf(const std::error_code&);

}

template <>
struct std::is_error_code_enum<skylarkhitch::ErrorKind> : std::true_type {
};
