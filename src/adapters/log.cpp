#include "adapters/log.h"

#include "core/check.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <mutex>

namespace skylarkhitch {

namespace {

    constexpr const char* levelNames[] = { "debug", "info", "warning", "error" };

    LogLevel levelFrom(const std::string& name)
    {
        for (int n = 0; n < 4; ++n) {
            if (name == levelNames[n])
                return static_cast<LogLevel>(n);
        }
        CALLER_CHECK(false) << "log_level: found '" << name << "', expected debug, info, warning or error";
        return LogLevel::Info;
    }

    // Quotes a value, so that a line stays one line.
    std::string quoted(std::string_view text)
    {
        std::string result = "\"";
        for (char c : text) {
            if (c == '"' || c == '\\')
                result += '\\';
            result += c == '\n' ? ' ' : c;
        }
        return result + '"';
    }

    using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

    Logger& logger()
    {
        static Logger instance;
        return instance;
    }

}

// Boost.Log finds this by the type's namespace.
static std::ostream& operator<<(std::ostream& out, LogLevel level)
{
    return out << levelNames[static_cast<int>(level)];
}

void startLog(const std::string& level, const std::string& instance)
{
    namespace expr = boost::log::expressions;
    auto least = levelFrom(level);
    boost::log::add_common_attributes();
    boost::log::core::get()->add_global_attribute("Instance", boost::log::attributes::constant<std::string>(instance));
    boost::log::add_console_log(std::cerr,
        boost::log::keywords::auto_flush = true,
        boost::log::keywords::format = (expr::stream << "time=" << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                                     << " level=" << expr::attr<LogLevel>("Severity")
                                                     << " instance=" << expr::attr<std::string>("Instance") << " " << expr::smessage));
    boost::log::core::get()->set_filter(expr::attr<LogLevel>("Severity") >= least);
}

void logChange(LogLevel level, std::string_view what, std::string_view subject, std::string_view detail)
{
    BOOST_LOG_SEV(logger(), level) << "what=" << what << " subject=" << quoted(subject) << " detail=" << quoted(detail);
}

}
