#include "core/error_kind.h"

#include "core/check.h"

#include <array>
#include <string>

namespace skylarkhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr std::array errorTable {
        ErrorInfo { ErrorKind::None, "none", 200, 0ms },
        ErrorInfo { ErrorKind::MalformedRequest, "malformed_request", 400, 0ms },
        ErrorInfo { ErrorKind::RequestTooLarge, "request_too_large", 413, 0ms },
        ErrorInfo { ErrorKind::UnknownKey, "unknown_key", 401, 0ms },
        ErrorInfo { ErrorKind::UnknownTarget, "unknown_target", 404, 0ms },
        ErrorInfo { ErrorKind::NotAllowed, "not_allowed", 403, 0ms },
        ErrorInfo { ErrorKind::BadHeader, "bad_header", 400, 0ms },
        ErrorInfo { ErrorKind::NoSuchPath, "no_such_path", 404, 0ms },
        ErrorInfo { ErrorKind::Overloaded, "overloaded", 429, 1000ms },
        ErrorInfo { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 429, 1000ms },
        ErrorInfo { ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, 1000ms },
        ErrorInfo { ErrorKind::NoHealthyUpstream, "no_healthy_upstream", 503, 2000ms },
        ErrorInfo { ErrorKind::UpstreamRejected, "upstream_rejected", 502, 0ms },
        ErrorInfo { ErrorKind::UpstreamFailed, "upstream_failed", 502, 1000ms },
        ErrorInfo { ErrorKind::StreamCut, "stream_cut", 502, 1000ms },
        ErrorInfo { ErrorKind::StoreUnavailable, "store_unavailable", 503, 5000ms },
        ErrorInfo { ErrorKind::IdempotencyKeyReused, "idempotency_key_reused", 422, 0ms },
        ErrorInfo { ErrorKind::IdempotencyKeyExpired, "idempotency_key_expired", 422, 0ms },
        ErrorInfo { ErrorKind::CallInFlight, "call_in_flight", 409, 1000ms },
        ErrorInfo { ErrorKind::OutcomeUnknown, "outcome_unknown", 409, 0ms },
        ErrorInfo { ErrorKind::InstanceDraining, "instance_draining", 503, 100ms },
        ErrorInfo { ErrorKind::InstanceCutOff, "instance_cut_off", 503, 100ms },
        ErrorInfo { ErrorKind::RequestCrashesUpstreams, "request_crashes_upstreams", 422, 600000ms },
        ErrorInfo { ErrorKind::RequestQuarantined, "request_quarantined", 503, 0ms },
        ErrorInfo { ErrorKind::PromptPartQuarantined, "prompt_part_quarantined", 503, 0ms },
        ErrorInfo { ErrorKind::PromptPartSuspected, "prompt_part_suspected", 503, 1000ms },
        ErrorInfo { ErrorKind::UpstreamLimitReached, "upstream_limit_reached", 429, 1000ms },
        ErrorInfo { ErrorKind::UpstreamsPaused, "upstreams_paused", 503, 1000ms },
        ErrorInfo { ErrorKind::InstanceExhausted, "instance_exhausted", 503, 200ms },
        ErrorInfo { ErrorKind::MisdirectedRequest, "misdirected_request", 421, 1000ms },
        ErrorInfo { ErrorKind::EditConflict, "edit_conflict", 409, 0ms },
        ErrorInfo { ErrorKind::NotConfigured, "not_configured", 503, 2000ms },
        ErrorInfo { ErrorKind::Internal, "internal", 500, 0ms },
    };

    class ErrorCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "skylarkhitch"; }
        std::string message(int value) const override
        {
            return std::string(errorInfo(static_cast<ErrorKind>(value)).name);
        }
    };

}

const ErrorInfo& errorInfo(ErrorKind kind)
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
