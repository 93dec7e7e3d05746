#include "tool/commands.h"

#include "tool/config_commands.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <iostream>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    // Prints a list of objects as a table with the columns in the order of the first object's keys.
    void printTable(const Json& rows)
    {
        if (rows.empty()) {
            std::cout << "(none)\n";
            return;
        }
        auto cellText = [](const Json& it) { return it.is_string() ? it.get<std::string>() : it.dump(); };
        std::vector<std::string> columns;
        std::vector<std::size_t> widths;
        for (const auto& [key, value] : rows.front().items()) {
            columns.push_back(key);
            widths.push_back(key.size());
            for (const auto& row : rows)
                widths.back() = std::max(widths.back(), cellText(row.at(key)).size());
        }
        for (std::size_t n = 0; n < columns.size(); ++n)
            std::cout << absl::StreamFormat("%-*s  ", static_cast<int>(widths[n]), columns[n]);
        std::cout << "\n";
        for (const auto& row : rows) {
            for (std::size_t n = 0; n < columns.size(); ++n)
                std::cout << absl::StreamFormat("%-*s  ", static_cast<int>(widths[n]), cellText(row.at(columns[n])));
            std::cout << "\n";
        }
    }

    Exit showPart(const ToolOptions& options, const char* part)
    {
        auto status = AdminClient(options.operatorAddress).get("/admin/status").json;
        if (options.json)
            std::cout << status.at(part).dump(2) << "\n";
        else
            printTable(status.at(part));
        return Exit::Ok;
    }

    Exit showStatus(const ToolOptions& options, const Arguments&)
    {
        auto status = AdminClient(options.operatorAddress).get("/admin/status").json;
        if (options.json) {
            std::cout << status.dump(2) << "\n";
            return Exit::Ok;
        }
        for (const auto& [key, value] : status.items()) {
            if (!value.is_array())
                std::cout << absl::StreamFormat("%-20s %s\n", key, value.dump());
        }
        std::cout << "\nmembers\n";
        printTable(status.at("members"));
        return Exit::Ok;
    }

    Exit showUpstreams(const ToolOptions& options, const Arguments&) { return showPart(options, "upstreams"); }

    Exit showVersions(const ToolOptions& options, const Arguments&) { return showPart(options, "versions"); }

    Exit showBills(const ToolOptions& options, const Arguments&)
    {
        auto response = AdminClient(options.operatorAddress).get("/admin/bills");
        if (response.status != 200) {
            std::cerr << response.json.value("error", "cannot read the bills") << "\n";
            return Exit::Unreachable;
        }
        if (options.json)
            std::cout << response.json.dump(2) << "\n";
        else
            printTable(response.json.at("teams"));
        return Exit::Ok;
    }

    Exit explain(const ToolOptions& options, const Arguments& arguments)
    {
        auto response = AdminClient(options.operatorAddress).get("/admin/explain?team=" + arguments[0] + "&target=" + arguments[1] + "&session=" + options.session).json;
        if (options.json) {
            std::cout << response.dump(2) << "\n";
            return Exit::Ok;
        }
        for (const auto& it : response.at("steps"))
            std::cout << it.get<std::string>() << "\n";
        return Exit::Ok;
    }

    Exit drainInstance(const ToolOptions& options, const Arguments&)
    {
        AdminClient(options.operatorAddress).post("/admin/drain", Json::object());
        std::cout << "draining; the process ends when its last request is answered\n";
        return Exit::Ok;
    }

    std::vector<HttpHeader> callerHeaders(const ToolOptions& options)
    {
        std::vector<HttpHeader> headers { { "Authorization", "Bearer " + options.key }, { "Content-Type", "application/json" } };
        auto add = [&](const char* name, const std::string& value) {
            if (!value.empty())
                headers.push_back({ name, value });
        };
        add("X-Rank", options.rank);
        add("X-Session", options.session);
        add("Idempotency-Key", options.idempotencyKey);
        return headers;
    }

    // Asks an entry instance which address to use, as every caller does.
    std::string chooseEntry(const ToolOptions& options, AdminClient& client)
    {
        HttpCall call { .address = options.entry, .path = "/v1/entry?session=" + options.session, .headers = callerHeaders(options) };
        auto result = client.send(std::move(call));
        auto json = Json::parse(result.body, nullptr, false);
        if (result.end != HttpEnd::Complete || !json.is_object())
            throw UnreachableError("no answer from the entry " + options.entry + "; name a running instance with --entry");
        return json.at("address");
    }

    Exit printResponse(const HttpResult& result)
    {
        for (const auto* name : { "x-request-id", "x-model", "x-version", "x-cost-micros", "x-ran" }) {
            if (auto it = result.headers.find(name); it != result.headers.end())
                std::cout << name << ": " << it->second << "\n";
        }
        std::cout << result.body << "\n";
        return result.end == HttpEnd::Complete && result.status < 400 ? Exit::Ok : Exit::Failed;
    }

    Exit sendChat(const ToolOptions& options, const Arguments& arguments)
    {
        AdminClient client(options.operatorAddress);
        Json message = { { "role", "user" }, { "content", arguments[1] } };
        Json body = { { "model", arguments[0] }, { "messages", Json::array({ message }) }, { "stream", options.stream } };
        HttpCall call { .method = "POST", .address = chooseEntry(options, client), .path = "/v1/chat/completions", .headers = callerHeaders(options), .body = std::make_shared<const std::string>(body.dump()), .timeout = Seconds(options.timeoutSeconds) };
        std::cout << "entry: " << call.address << "\n";
        return printResponse(client.send(std::move(call)));
    }

    Exit sendCall(const ToolOptions& options, const Arguments& arguments)
    {
        AdminClient client(options.operatorAddress);
        HttpCall call { .method = arguments[1], .address = chooseEntry(options, client), .path = "/services/" + arguments[0] + arguments[2], .headers = callerHeaders(options), .timeout = Seconds(options.timeoutSeconds) };
        if (arguments.size() > 3)
            call.body = std::make_shared<const std::string>(arguments[3]);
        std::cout << "entry: " << call.address << "\n";
        return printResponse(client.send(std::move(call)));
    }

    struct Command {
        std::vector<std::string> name;
        const char* arguments;
        std::size_t minArguments;
        std::size_t maxArguments;
        Exit (*run)(const ToolOptions&, const Arguments&);
        const char* help;
    };

    const Command commands[] = {
        { { "config", "check" }, "BASE [OVERLAY]", 1, 2, &configCheck, "check files without applying them" },
        { { "config", "show" }, "", 0, 0, &configShow, "print the configuration in force" },
        { { "config", "diff" }, "BASE [OVERLAY]", 1, 2, &configDiff, "compare files with the configuration in force" },
        { { "config", "apply" }, "BASE [OVERLAY]", 1, 2, &configApply, "put files in force; --wait until every live instance has them" },
        { { "config", "history" }, "", 0, 0, &configHistory, "list the newest edits" },
        { { "config", "reference" }, "", 0, 0, &configReference, "print every key with unit, default and range" },
        { { "status" }, "", 0, 0, &showStatus, "show an instance and its peers" },
        { { "upstreams" }, "", 0, 0, &showUpstreams, "list upstreams" },
        { { "versions" }, "", 0, 0, &showVersions, "list versions and their health" },
        { { "withdraw" }, "VERSION", 1, 1, &withdrawVersion, "give a version no new work" },
        { { "rollout", "start" }, "MODEL FROM TO SHARE", 4, 4, &rolloutStart, "start a roll-out with a share of the sessions" },
        { { "rollout", "advance" }, "MODEL SHARE", 2, 2, &rolloutAdvance, "change the share of a roll-out" },
        { { "rollout", "hold" }, "MODEL", 1, 1, &rolloutHold, "keep a roll-out at its share" },
        { { "rollout", "back" }, "MODEL", 1, 1, &rolloutBack, "give new sessions the old version again" },
        { { "explain" }, "TEAM MODEL", 2, 2, &explain, "say where a request would land now, and why (--session)" },
        { { "drain" }, "", 0, 0, &drainInstance, "stop an instance without cutting a request" },
        { { "bills" }, "", 0, 0, &showBills, "sum the bills of each team" },
        { { "request", "chat" }, "MODEL TEXT", 2, 2, &sendChat, "send a chat request (--entry, --key, --stream, --session, --rank)" },
        { { "request", "call" }, "SERVICE METHOD PATH [BODY]", 3, 4, &sendCall, "call a service (--entry, --key, --idempotency-key)" },
    };

    const Command* findCommand(const Arguments& words)
    {
        for (const auto& it : commands) {
            if (words.size() >= it.name.size() && std::equal(it.name.begin(), it.name.end(), words.begin()))
                return &it;
        }
        return nullptr;
    }

}

std::string commandHelp()
{
    std::string help = "commands:\n";
    for (const auto& it : commands) {
        auto call = absl::StrJoin(it.name, " ") + " " + it.arguments;
        help += absl::StrFormat("  %-44s %s\n", call, it.help);
    }
    return help;
}

Exit runCommand(const ToolOptions& options, const std::vector<std::string>& words)
{
    const auto* command = findCommand(words);
    if (!command) {
        std::cerr << "unknown command '" << absl::StrJoin(words, " ") << "'\n"
                  << commandHelp();
        return Exit::Usage;
    }
    Arguments arguments(words.begin() + static_cast<std::ptrdiff_t>(command->name.size()), words.end());
    if (arguments.size() < command->minArguments || arguments.size() > command->maxArguments) {
        std::cerr << "usage: skylarkhitch " << absl::StrJoin(command->name, " ") << " " << command->arguments << "\n";
        return Exit::Usage;
    }
    try {
        return command->run(options, arguments);
    } catch (const UnreachableError& e) {
        std::cerr << e.what() << "\n";
        return Exit::Unreachable;
    } catch (const std::exception& e) {
        std::cerr << "cannot parse the response: " << e.what() << "\n";
        return Exit::Failed;
    }
}

}
