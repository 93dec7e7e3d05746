#include "core/scheduling/engine_memory.h"

#include "core/bounded_document.h"

#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    constexpr double averageGain = 0.05;
    // Standard deviations above the mean that are kept free.
    constexpr double likelyDeviations = 2;
    // Longest output that is counted; also keeps products of lengths within the range of sums.
    constexpr std::int64_t maxOutput = std::int64_t { 1 } << 24;
    // One estimate that is off by more than a factor of e^3 counts no more than that.
    constexpr double maxLogError = 3;
    // A larger variance of the logarithm has no further effect.
    constexpr double maxLogVariance = 2;
    constexpr std::size_t maxRoutes = 4096;

    std::int64_t clampedSum(std::int64_t a, std::int64_t b) { return std::min(maxSum, a + b); }

    std::int64_t outputBound(const RequestLength& request)
    {
        return request.maxOutputTokens > 0 ? std::min(request.maxOutputTokens, maxOutput) : maxOutput;
    }

    bool hasUsableHint(const RequestLength& request) { return request.outputHint.value_or(0) > 0; }

    // The variance of a length between 0 and the bound is limited by its distances from both.
    MemoryCommitment bounded(std::int64_t promptTokens, double mean, double variance, std::int64_t bound)
    {
        auto limit = static_cast<double>(bound);
        auto output = std::clamp(mean, 0.0, limit);
        auto rest = std::min(variance, output * (limit - output));
        return { std::max<std::int64_t>(0, promptTokens) + std::llround(output), std::llround(std::max(0.0, rest)) };
    }

}

MemoryCommitment operator+(const MemoryCommitment& a, const MemoryCommitment& b)
{
    return { clampedSum(a.tokens, b.tokens), clampedSum(a.variance, b.variance) };
}

MemoryCommitment operator-(const MemoryCommitment& a, const MemoryCommitment& b)
{
    return { std::max<std::int64_t>(0, a.tokens - b.tokens), std::max<std::int64_t>(0, a.variance - b.variance) };
}

std::int64_t likelyTokens(const MemoryCommitment& it)
{
    return it.tokens + std::llround(likelyDeviations * std::sqrt(static_cast<double>(it.variance)));
}

bool fitsMemory(std::int64_t memoryTokens, const MemoryCommitment& committed, const MemoryCommitment& request)
{
    return memoryTokens <= 0 || likelyTokens(committed + request) <= memoryTokens;
}

MemoryCommitment OutputLengths::commitment(const RequestLength& request) const
{
    auto bound = outputBound(request);
    if (hasUsableHint(request)) {
        // The estimate is the median of a log-normal distribution.
        auto hint = static_cast<double>(std::min(*request.outputHint, bound));
        auto growth = std::exp(m_hintLogVariance);
        return bounded(request.promptTokens, hint * std::sqrt(growth), hint * hint * (growth - 1) * growth, bound);
    }
    auto it = m_routes.find(request.route);
    if (it != m_routes.end())
        return bounded(request.promptTokens, it->second.mean, it->second.variance, bound);
    if (request.maxOutputTokens <= 0)
        return { std::max<std::int64_t>(0, request.promptTokens), 0 };
    // Any length up to the bound is as likely.
    auto limit = static_cast<double>(bound);
    return bounded(request.promptTokens, limit / 2, limit * limit / 12, bound);
}

void OutputLengths::record(const RequestLength& request, std::int64_t outputTokens)
{
    if (outputTokens <= 0)
        return;
    auto length = static_cast<double>(std::min(outputTokens, maxOutput));
    if (hasUsableHint(request)) {
        auto hint = static_cast<double>(std::min(*request.outputHint, outputBound(request)));
        auto error = std::clamp(std::log(length / hint), -maxLogError, maxLogError);
        m_hintLogVariance = std::min(maxLogVariance, m_hintLogVariance + averageGain * (error * error - m_hintLogVariance));
    }
    if (m_routes.size() >= maxRoutes && !m_routes.contains(request.route))
        return;
    auto& route = m_routes[request.route];
    ++route.samples;
    auto gain = std::max(averageGain, 1 / route.samples);
    auto difference = length - route.mean;
    route.mean += gain * difference;
    route.variance += gain * (difference * (length - route.mean) - route.variance);
}

}
