// skylarkhitch: the operators' command-line tool.

#include "adapters/command_line.h"
#include "tool/commands.h"

#include <cstdlib>
#include <iostream>

namespace {

using namespace skylarkhitch;

// popt stores option values in plain C types; toolOptions() copies them into ToolOptions.
struct RawOptions {
    char* operatorAddress = nullptr;
    char* author = nullptr;
    char* entry = nullptr;
    char* key = nullptr;
    char* session = nullptr;
    char* rank = nullptr;
    char* idempotencyKey = nullptr;
    int json = 0;
    int wait = 0;
    int stream = 0;
    int timeoutSeconds = 16;
};

void copyText(const char* from, std::string& to)
{
    if (from)
        to = from;
}

ToolOptions toolOptions(const RawOptions& raw)
{
    ToolOptions options;
    copyText(std::getenv("USER"), options.author);
    copyText(raw.operatorAddress, options.operatorAddress);
    copyText(raw.author, options.author);
    copyText(raw.entry, options.entry);
    copyText(raw.key, options.key);
    copyText(raw.session, options.session);
    copyText(raw.rank, options.rank);
    copyText(raw.idempotencyKey, options.idempotencyKey);
    options.json = raw.json != 0;
    options.wait = raw.wait != 0;
    options.stream = raw.stream != 0;
    options.timeoutSeconds = raw.timeoutSeconds;
    return options;
}

}

int main(int argc, const char** argv)
{
    RawOptions raw;
    poptOption table[] = {
        { "operator", 'a', POPT_ARG_STRING, &raw.operatorAddress, 0, "operator port of an instance (127.0.0.1:8081)", "IP:PORT" },
        { "json", 'j', POPT_ARG_NONE, &raw.json, 0, "print JSON", nullptr },
        { "wait", 'w', POPT_ARG_NONE, &raw.wait, 0, "wait until an edit is in force everywhere", nullptr },
        { "timeout", 't', POPT_ARG_INT, &raw.timeoutSeconds, 0, "longest wait in seconds (16)", "SECONDS" },
        { "author", 0, POPT_ARG_STRING, &raw.author, 0, "name for the history ($USER)", "NAME" },
        { "entry", 'e', POPT_ARG_STRING, &raw.entry, 0, "an entry instance to ask for the address", "IP:PORT" },
        { "key", 'k', POPT_ARG_STRING, &raw.key, 0, "the team's bearer key", "KEY" },
        { "session", 0, POPT_ARG_STRING, &raw.session, 0, "session of the request", "NAME" },
        { "rank", 0, POPT_ARG_STRING, &raw.rank, 0, "rank of the request", "RANK" },
        { "idempotency-key", 0, POPT_ARG_STRING, &raw.idempotencyKey, 0, "key under which a call runs at most once", "KEY" },
        { "stream", 0, POPT_ARG_NONE, &raw.stream, 0, "ask for a streamed answer", nullptr },
        POPT_AUTOHELP POPT_TABLEEND
    };
    CommandLine line("skylarkhitch", argc, argv, table);
    auto* context = line.get();
    poptSetOtherOptionHelp(context, ("[OPTION...] COMMAND\n\n" + commandHelp()).c_str());
    auto result = poptGetNextOpt(context);
    if (result < -1) {
        std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(result) << "\n";
        return static_cast<int>(Exit::Usage);
    }
    std::vector<std::string> words;
    while (const auto* word = poptGetArg(context))
        words.emplace_back(word);
    return static_cast<int>(runCommand(toolOptions(raw), words));
}
