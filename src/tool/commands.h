#pragma once

// Looks up and runs the commands of the command-line tool.

#include <string>
#include <vector>

namespace skylarkhitch {

// Exit statuses, documented in docs/OPERATIONS.md.
enum class Exit {
    Ok = 0,
    Failed = 1,
    Usage = 2,
    InvalidConfiguration = 3,
    // The edit is based on an older revision than the stored one; nothing was changed.
    Conflict = 4,
    Unreachable = 5,
};

struct ToolOptions {
    // Operator port of the instance to which commands are sent.
    std::string operatorAddress = "127.0.0.1:8081";
    bool json = false;
    // Whether an edit waits until every instance, listed or seen by its heartbeats, reports the new revision.
    bool wait = false;
    // Limit of that wait, and of a request that a `request` command sends.
    int timeoutSeconds = 16;
    // Author of an edit, for the history.
    std::string author;
    // For the `request` commands; `explain` uses the session too. The entry is the instance asked for an entry address.
    std::string entry;
    std::string key;
    std::string session;
    std::string rank;
    std::string idempotencyKey;
    bool stream = false;
};

// Runs the command named by the first words; the remaining words are its arguments. Prints to standard output and
// standard error.
Exit runCommand(const ToolOptions&, const std::vector<std::string>& words);

// Returns the help text, with one line per command.
std::string commandHelp();

}
