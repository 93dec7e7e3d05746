#pragma once

// The commands of the tool, found by their words in a table.

#include <string>
#include <vector>

namespace skylarkhitch {

// Exit statuses, as docs/OPERATIONS.md lists them.
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
    // For `request`.
    std::string entry;
    std::string key;
    std::string session;
    std::string rank;
    std::string idempotencyKey;
    bool stream = false;
};

// Runs the command that the words name; prints to standard output and standard error.
Exit runCommand(const ToolOptions&, const std::vector<std::string>& words);

// One line for each command.
std::string commandHelp();

}
