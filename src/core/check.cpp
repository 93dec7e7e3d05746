#include "core/check.h"

#include <cstdio>
#include <cstdlib>

namespace skylarkhitch::Internal {

InvariantReport::InvariantReport(const char* file, int line, const char* condition)
{
    m_stream << "level=error what=invariant_violated at=" << file << ":" << line << " condition=\"" << condition << "\" detail=\"";
}

InvariantReport::~InvariantReport()
{
    std::fprintf(stderr, "%s\"\n", m_stream.str().c_str());
    std::abort();
}

}
