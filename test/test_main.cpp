#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace {

// Ends the program at an assertion on another thread than that of the tests. Catch2's assertions are not thread-safe, and a REQUIRE that
// fails throws through a thread where nothing catches it. Such a thread records what it sees, and the test checks that.
class AssertionThreadCheck final : public Catch::TestEventListenerBase {
public:
    using TestEventListenerBase::TestEventListenerBase;

    void testRunStarting(const Catch::TestRunInfo&) override { m_testThread = std::this_thread::get_id(); }
    void assertionStarting(const Catch::AssertionInfo& assertion) override
    {
        if (std::this_thread::get_id() == m_testThread)
            return;
        std::fprintf(stderr, "%s:%zu: an assertion on another thread than that of the tests\n", assertion.lineInfo.file, assertion.lineInfo.line);
        std::abort();
    }

private:
    std::thread::id m_testThread;
};

}

CATCH_REGISTER_LISTENER(AssertionThreadCheck)
