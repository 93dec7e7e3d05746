// A caller begins to work on a new document. Its first requests hold an appendix that crashes the engines; the requests after them hold
// the document alone, while some with the appendix still come.
//
// Rule LOST: from 2 x contactMs (3000) after the fifth crash (the last, if there are fewer), while such requests still come, sound requests
// of their route with the same key or first part begin at the first attempt at least half as often as before.

#include "crashing_site.h"

using namespace review;

namespace {

constexpr const char* documentPart = "d0c0d0c0";
constexpr std::chrono::milliseconds soundTime { 4000 }, projectTime { 24000 }, fatalPeriod { 600 };
constexpr int firstFatal = 3;

struct Answer {
    Clock::time_point sentAt;
    bool isServed = false;
};

}

int main(int argc, char** argv)
{
    if (argc < 2)
        return couldNotRun;
    Record record(argv[1]);
    CrashingSite site(record);
    if (!site.start("f00d:300", 0))
        return couldNotRun;
    std::mutex mutex;
    std::vector<Answer> answers;
    auto callSound = [&](Clock::time_point end, const std::string& parts) {
        std::vector<std::thread> callers;
        for (int caller = 0; caller < 12; ++caller) {
            callers.emplace_back([&] {
                while (Clock::now() < end) {
                    int n = site.nextId();
                    auto sentAt = Clock::now();
                    auto response = site.send("draft", absl::StrCat("sound-", n), absl::StrCat(parts, n % 20, ":100,e", n, ":1000"));
                    if (n % 20 == 0)
                        record.line(absl::StrCat("sound-", n, " answered ", statusOf(response)));
                    std::lock_guard lock(mutex);
                    answers.push_back({ sentAt, isWholeStream(response) });
                    std::this_thread::sleep_for(100ms);
                }
            });
        }
        for (auto& it : callers)
            it.join();
    };
    record.line("the caller's sound requests");
    callSound(Clock::now() + soundTime, "f00d:300,5ab");
    auto projectAt = Clock::now();
    auto end = projectAt + projectTime;
    record.line("the caller's requests on the new document");
    auto sendFatal = [&] {
        if (hasTrouble())
            site.sendFatal("draft", absl::StrCat("f00d:300,", documentPart, ":300,", fatalPart, ":100,e", site.nextId(), ":1000"));
    };
    for (int n = 0; n < firstFatal; ++n) {
        sendFatal();
        std::this_thread::sleep_for(fatalPeriod);
    }
    std::thread fatalCaller([&] {
        while (Clock::now() < end) {
            sendFatal();
            std::this_thread::sleep_for(2 * fatalPeriod);
        }
    });
    callSound(end, absl::StrCat("f00d:300,", documentPart, ":300,5ab"));
    fatalCaller.join();
    auto crashes = site.finishAndListCrashes();
    if (!crashes)
        return couldNotRun;
    constexpr std::size_t crashesToCount = 5;
    auto from = projectAt;
    if (!crashes->empty())
        from = (*crashes)[std::min(crashes->size(), crashesToCount) - 1] + 6000ms;
    int before = 0, beforeServed = 0, after = 0, afterServed = 0;
    for (const auto& it : answers) {
        if (it.sentAt < projectAt) {
            ++before;
            beforeServed += it.isServed ? 1 : 0;
        } else if (it.sentAt >= from) {
            ++after;
            afterServed += it.isServed ? 1 : 0;
        }
    }
    record.line(absl::StrCat(crashes->size(), " crashes; sound requests with the same key and first part: ", beforeServed, " of ", before, " served before, ", afterServed, " of ", after, " from ", record.seconds(from), " s on"));
    if (before < 20 || after < 20)
        return couldNotRun;
    bool isBroken = 2.0 * afterServed / after < 1.0 * beforeServed / before;
    return isBroken ? broken : held;
}
