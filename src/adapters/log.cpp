#include "adapters/log.h"

#include "adapters/log_rate_limiter.h"
#include "core/check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <mutex>

namespace skylarkhitch {

namespace {

    namespace sinks = boost::log::sinks;

    // Capacity of the queue to the writer thread: several seconds of lines under a flood of requests.
    constexpr std::size_t maxQueuedLines = 2048;
    constexpr const char* levelNames[] = { "debug", "info", "warning", "error" };

    std::atomic<std::uint64_t> droppedLines = 0;
    std::atomic<std::uint64_t> suppressedLines = 0;
    std::atomic<LogLevel> minimumLevel = LogLevel::Debug;
    std::atomic<std::uint64_t> writtenLines = 0;
    std::atomic<std::uint64_t> writtenBytes = 0;

    // Overflow policy of the queue: drops and counts a line if the queue is full.
    struct DropAndCount {
        template <typename Lock>
        static bool on_overflow(const boost::log::record_view&, Lock&) // NOLINT(readability-identifier-naming): Boost.Log's name
        {
            ++droppedLines;
            return false;
        }
        static void on_queue_space_available() { } // NOLINT(readability-identifier-naming): Boost.Log's name
        static void interrupt() { }
    };

    using Sink = sinks::asynchronous_sink<sinks::text_ostream_backend, sinks::bounded_fifo_queue<maxQueuedLines, DropAndCount>>;

    boost::shared_ptr<Sink>& sink()
    {
        static boost::shared_ptr<Sink> instance;
        return instance;
    }

    LogLevel parseLevel(const std::string& name)
    {
        for (int n = 0; n < 4; ++n) {
            if (name == levelNames[n])
                return static_cast<LogLevel>(n);
        }
        USAGE_CHECK(false) << "log_level: found '" << name << "', expected debug, info, warning or error";
        return LogLevel::Info;
    }

    // Longest value in bytes, without quotes and escapes. Fields that begin after this many bytes of a line are left out.
    constexpr std::size_t maxLoggedValue = 512;
    constexpr std::size_t maxLineBytes = 4096;

    // The lead bytes of UTF-8 sequences of one length, and the range of the byte after them; all further bytes are 0x80 to 0xbf.
    struct SequenceKind {
        unsigned char firstLead;
        unsigned char lastLead;
        unsigned char minSecond;
        unsigned char maxSecond;
        std::size_t bytes;
    };
    // Without the control characters, which begin with 0xc2 and 0x80 to 0x9f, and without the line and paragraph separators.
    constexpr SequenceKind sequenceKinds[] = { { 0xc2, 0xc2, 0xa0, 0xbf, 2 }, { 0xc3, 0xdf, 0x80, 0xbf, 2 }, { 0xe0, 0xe0, 0xa0, 0xbf, 3 }, { 0xe1, 0xec, 0x80, 0xbf, 3 }, { 0xed, 0xed, 0x80, 0x9f, 3 },
        { 0xee, 0xef, 0x80, 0xbf, 3 }, { 0xf0, 0xf0, 0x90, 0xbf, 4 }, { 0xf1, 0xf3, 0x80, 0xbf, 4 }, { 0xf4, 0xf4, 0x80, 0x8f, 4 } };

    bool isSequence(std::string_view text, const SequenceKind& kind)
    {
        auto at = [&](std::size_t n) { return static_cast<unsigned char>(text[n]); };
        bool isKind = text.size() >= kind.bytes && at(0) >= kind.firstLead && at(0) <= kind.lastLead && at(1) >= kind.minSecond && at(1) <= kind.maxSecond;
        for (std::size_t n = 2; isKind && n < kind.bytes; ++n)
            isKind = at(n) >= 0x80 && at(n) <= 0xbf;
        return isKind && text.substr(0, kind.bytes) != "\u2028" && text.substr(0, kind.bytes) != "\u2029";
    }

    // Size of the printable character that the text begins with; 0 if it begins with a control character or is not UTF-8.
    std::size_t printableBytes(std::string_view text)
    {
        if (static_cast<unsigned char>(text[0]) < 0x80)
            return absl::ascii_isprint(static_cast<unsigned char>(text[0])) ? 1 : 0;
        const auto* kind = std::find_if(std::begin(sequenceKinds), std::end(sequenceKinds), [&](const auto& it) { return isSequence(text, it); });
        return kind == std::end(sequenceKinds) ? 0 : kind->bytes;
    }

    // Quotes and escapes a value if necessary, cuts a long one, and replaces control characters and bytes that are not UTF-8 by spaces,
    // so that each event stays on one line.
    void appendValue(std::string& line, std::string_view text)
    {
        constexpr std::string_view plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+";
        bool isCut = text.size() > maxLoggedValue;
        text = text.substr(0, maxLoggedValue);
        if (!isCut && !text.empty() && text.find_first_not_of(plain) == std::string_view::npos) {
            line += text;
            return;
        }
        line += '"';
        while (!text.empty()) {
            auto n = printableBytes(text);
            if (text[0] == '"' || text[0] == '\\')
                line += '\\';
            line += n == 0 ? " " : text.substr(0, n);
            text.remove_prefix(std::max<std::size_t>(1, n));
        }
        line += isCut ? "...\"" : "\"";
    }

    // Shared by all threads that log; the mutex is held only while a line is counted, not while it is written.
    struct GuardedLimiter {
        std::mutex mutex;
        LogRateLimiter limiter;
    };

    GuardedLimiter& guardedLimiter()
    {
        static GuardedLimiter instance;
        return instance;
    }

    void write(LogLevel level, const std::string& text);

    std::string lineKind(LogLevel level, std::string_view what)
    {
        std::string kind = levelNames[static_cast<int>(level)];
        kind += '/';
        kind += what;
        return kind;
    }

    // Returns whether the line is to be written. Each level of an event is a separate kind, so that lines about failures are
    // not suppressed by a flood of lines about successes. Counts of suppressed lines of earlier seconds are logged before the
    // line.
    bool admit(LogLevel level, std::string_view what)
    {
        if (level < minimumLevel)
            return false;
        std::vector<LogRateLimiter::Suppressed> earlier;
        bool isAdmitted = false;
        {
            auto& guarded = guardedLimiter();
            std::lock_guard lock(guarded.mutex);
            // Uses the steady clock because the wall clock may jump.
            TimePoint now { std::chrono::duration_cast<Microseconds>(std::chrono::steady_clock::now().time_since_epoch()) };
            earlier = guarded.limiter.takeSuppressed(now);
            isAdmitted = guarded.limiter.admits(lineKind(level, what), now);
        }
        for (const auto& it : earlier)
            write(LogLevel::Warning, absl::StrCat("what=log_suppressed kind=", it.kind, " lines=", it.lines));
        if (!isAdmitted)
            ++suppressedLines;
        return isAdmitted;
    }

    // Written at once, since the lines that wait in the queue are lost when the process aborts.
    [[noreturn]] void onTerminate()
    {
        std::string line = "level=error what=uncaught_exception error=";
        try {
            auto error = std::current_exception();
            if (error)
                std::rethrow_exception(error);
            appendValue(line, "none");
        } catch (const std::exception& e) {
            appendValue(line, e.what());
        } catch (...) {
            appendValue(line, "not a standard exception");
        }
        std::fprintf(stderr, "%s\n", line.c_str());
        std::abort();
    }

    using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

    Logger& logger()
    {
        static Logger instance;
        return instance;
    }

}

// Boost.Log finds this operator by argument-dependent lookup.
static std::ostream& operator<<(std::ostream& out, LogLevel level)
{
    return out << levelNames[static_cast<int>(level)];
}

namespace {

    void write(LogLevel level, const std::string& text)
    {
        ++writtenLines;
        writtenBytes += text.size();
        BOOST_LOG_SEV(logger(), level) << text;
    }

}

void startLog(const std::string& level, const std::string& instance, LogTarget target)
{
    namespace expr = boost::log::expressions;
    setLogLevel(level);
    std::set_terminate(onTerminate);
    boost::log::add_common_attributes();
    boost::log::core::get()->add_global_attribute("Instance", boost::log::attributes::constant<std::string>(instance));
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(target == LogTarget::StandardOutput ? &std::cout : &std::cerr, boost::null_deleter()));
    backend->auto_flush(true);
    sink() = boost::make_shared<Sink>(backend);
    sink()->set_formatter(expr::stream << "time=" << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                       << " level=" << expr::attr<LogLevel>("Severity")
                                       << " instance=" << expr::attr<std::string>("Instance") << " " << expr::smessage);
    boost::log::core::get()->add_sink(sink());
}

bool isLogLevel(const std::string& name)
{
    return std::find(std::begin(levelNames), std::end(levelNames), name) != std::end(levelNames);
}

void setLogLevel(const std::string& level)
{
    minimumLevel = parseLevel(level);
}

void stopLog()
{
    if (!sink())
        return;
    boost::log::core::get()->remove_sink(sink());
    sink()->stop();
    sink()->flush();
    sink().reset();
}

LogTotals logTotals() { return { writtenLines, writtenBytes, suppressedLines, droppedLines }; }

LogLine::LogLine(LogLevel level, std::string_view what)
    : m_level(level)
    , m_isAdmitted(admit(level, what))
    , m_text("what=")
{
    m_text += what;
}

LogLine::~LogLine()
{
    if (m_isAdmitted)
        write(m_level, m_text);
}

LogLine& LogLine::with(std::string_view name, std::string_view value)
{
    if (!m_isAdmitted || m_text.size() > maxLineBytes)
        return *this;
    m_text += ' ';
    m_text += name;
    m_text += '=';
    appendValue(m_text, value);
    return *this;
}

LogLine& LogLine::with(std::string_view name, std::int64_t value)
{
    if (!m_isAdmitted || m_text.size() > maxLineBytes)
        return *this;
    m_text += ' ';
    m_text += name;
    m_text += '=';
    m_text += std::to_string(value);
    return *this;
}

void logChange(LogLevel level, std::string_view what, std::string_view subject, std::string_view detail)
{
    LogLine(level, what).with("subject", subject).with("detail", detail);
}

}
