#pragma once

// Owns a popt context for a program's command line and the option values that popt allocates.

#include <cstdlib>
#include <popt.h>

namespace skylarkhitch {

class CommandLine {
public:
    // The table must end with POPT_TABLEEND and outlive this object. The destructor frees the values of the table's string
    // options; their initial values must be null or allocated with malloc.
    CommandLine(const char* program, int argc, const char** argv, const poptOption* table)
        : m_table(table)
        , m_context(poptGetContext(program, argc, argv, table, 0))
    {
    }
    ~CommandLine()
    {
        poptFreeContext(m_context);
        for (const auto* it = m_table; it->longName || it->shortName || it->arg; ++it) {
            if ((it->argInfo & POPT_ARG_MASK) == POPT_ARG_STRING)
                std::free(*static_cast<char**>(it->arg));
        }
    }
    CommandLine(const CommandLine&) = delete;
    CommandLine& operator=(const CommandLine&) = delete;

    // Returns the popt context, which remains owned by this object.
    poptContext get() const { return m_context; }

private:
    const poptOption* m_table;
    poptContext m_context;
};

}
