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
    Conflict = 4,
    Unreachable = 5,
};

struct ToolOptions {
    std::string operatorAddress = "127.0.0.1:8081";
    bool json = false;
    bool wait = false;
    int timeoutSeconds = 16;
    std::string author;
    // For the `request` commands.
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
