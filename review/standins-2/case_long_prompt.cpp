// Prompts of long conversations: some forty parts, the last but a few of which crashes the engines. One such request comes twice a
// second, no two alike.

#include "crashing_site.h"

using namespace review;

namespace {

constexpr int turns = 40, fatalTurn = 36;
constexpr int requests = 40;
constexpr auto period = 500ms;

}

int main(int argc, char** argv)
{
    if (argc < 2)
        return couldNotRun;
    Record record(argv[1]);
    CrashingSite site(record);
    // Sound requests go on with the same conversation, without the part.
    std::string conversation = "f00d:300";
    for (int n = 1; n < turns; ++n)
        absl::StrAppend(&conversation, ",c0", n, ":20");
    if (!site.start(conversation))
        return couldNotRun;
    for (int n = 0; n < requests; ++n) {
        std::string parts = "f00d:300";
        for (int turn = 1; turn < turns; ++turn)
            absl::StrAppend(&parts, ",", turn == fatalTurn ? fatalPart : absl::StrCat("c0", turn), ":20");
        if (hasTrouble())
            site.sendFatal("draft", absl::StrCat(parts, ",e", site.nextId(), ":1000"));
        std::this_thread::sleep_for(period);
    }
    return site.finish();
}
