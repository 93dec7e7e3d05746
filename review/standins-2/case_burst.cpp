// Requests with a prompt part that crashes engines come in bursts: several at the same moment, every few seconds. Their
// route does not allow to resume a stream, so none is repeated.

#include "crashing_site.h"

using namespace review;

namespace {

constexpr int bursts = 3, burstSize = 9;
constexpr auto burstPeriod = 4s;

}

int main(int argc, char** argv)
{
    if (argc < 2)
        return couldNotRun;
    Record record(argv[1]);
    CrashingSite site(record);
    if (!site.start("f00d:300"))
        return couldNotRun;
    for (int burst = 1; burst <= bursts; ++burst) {
        if (hasTrouble()) {
            record.line(absl::StrCat("burst ", burst, ": ", burstSize, " requests with the part are sent"));
            for (int n = 0; n < burstSize; ++n)
                site.sendFatal("letter", absl::StrCat("f00d:300,", fatalPart, ":100,5ab", n, ":100,e", site.nextId(), ":1000"));
        }
        std::this_thread::sleep_for(burstPeriod);
    }
    return site.finish();
}
