#include "core/error_kind.h"

#include "core/check.h"

#include <array>
#include <string>

namespace skylarkhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr std::array errorTable {
        ErrorAnswer { ErrorKind::None, "none", 200, 0ms },
        ErrorAnswer { ErrorKind::MalformedRequest, "malformed_request", 400, 0ms },
        ErrorAnswer { ErrorKind::RequestTooLarge, "request_too_large", 413, 0ms },
        ErrorAnswer { ErrorKind::UnknownKey, "unknown_key", 401, 0ms },
        ErrorAnswer { ErrorKind::UnknownTarget, "unknown_target", 404, 0ms },
        ErrorAnswer { ErrorKind::NotAllowed, "not_allowed", 403, 0ms },
        ErrorAnswer { ErrorKind::BadHeader, "bad_header", 400, 0ms },
        ErrorAnswer { ErrorKind::NoSuchPath, "no_such_path", 404, 0ms },
        ErrorAnswer { ErrorKind::Overloaded, "overloaded", 429, 1000ms },
        ErrorAnswer { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 429, 1000ms },
        ErrorAnswer { ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, 1000ms },
        ErrorAnswer { ErrorKind::NoHealthyUpstream, "no_healthy_upstream", 503, 2000ms },
        ErrorAnswer { ErrorKind::UpstreamRejected, "upstream_rejected", 502, 0ms },
        ErrorAnswer { ErrorKind::UpstreamFailed, "upstream_failed", 502, 1000ms },
        ErrorAnswer { ErrorKind::StreamCut, "stream_cut", 502, 1000ms },
        ErrorAnswer { ErrorKind::StoreUnavailable, "store_unavailable", 503, 5000ms },
        ErrorAnswer { ErrorKind::IdempotencyKeyReused, "idempotency_key_reused", 422, 0ms },
        ErrorAnswer { ErrorKind::IdempotencyKeyExpired, "idempotency_key_expired", 422, 0ms },
        ErrorAnswer { ErrorKind::CallInFlight, "call_in_flight", 409, 1000ms },
        ErrorAnswer { ErrorKind::OutcomeUnknown, "outcome_unknown", 409, 0ms },
        ErrorAnswer { ErrorKind::InstanceDraining, "instance_draining", 503, 100ms },
        ErrorAnswer { ErrorKind::InstanceCutOff, "instance_cut_off", 503, 100ms },
        ErrorAnswer { ErrorKind::RequestCrashesUpstreams, "request_crashes_upstreams", 422, 600000ms },
        ErrorAnswer { ErrorKind::RequestQuarantined, "request_quarantined", 503, 10000ms },
        ErrorAnswer { ErrorKind::EditConflict, "edit_conflict", 409, 0ms },
        ErrorAnswer { ErrorKind::NotConfigured, "not_configured", 503, 2000ms },
        ErrorAnswer { ErrorKind::Internal, "internal", 500, 0ms },
    };

    class ErrorCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "skylarkhitch"; }
        std::string message(int value) const override
        {
            return std::string(answerFor(static_cast<ErrorKind>(value)).name);
        }
    };

}

const ErrorAnswer& answerFor(ErrorKind kind)
{
    auto index = static_cast<std::size_t>(kind);
    INTERNAL_CHECK(index < errorTable.size() && errorTable[index].kind == kind) << "no table entry for error kind " << index;
    return errorTable[index];
}

const std::error_category& errorCategory()
{
    static const ErrorCategory category;
    return category;
}

// NOLINTNEXTLINE(readability-identifier-naming)
std::error_code make_error_code(ErrorKind kind)
{
    return { static_cast<int>(kind), errorCategory() };
}

ErrorKind kindOf(const std::error_code& ec)
{
    if (!ec)
        return ErrorKind::None;
    return ec.category() == errorCategory() ? static_cast<ErrorKind>(ec.value()) : ErrorKind::Internal;
}

}
