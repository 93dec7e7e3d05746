#include "core/check.h"

#include <cstdio>
#include <cstdlib>

namespace skylarkhitch::Internal {

InvariantReport::InvariantReport(const char* file, int line, const char* condition)
{
    m_stream << file << ":" << line << ": invariant violated: " << condition << ": ";
}

InvariantReport::~InvariantReport()
{
    std::fprintf(stderr, "%s\n", m_stream.str().c_str());
    std::abort();
}

}
