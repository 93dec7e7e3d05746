#include "tool/config_commands.h"

#include "config/parse_configuration.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds pollPeriod { 100 };
    // waitForAll() succeeds once every instance has been up to date for this long, which is longer than an instance takes to
    // read the instance list and to receive the first heartbeat of a new instance.
    constexpr Milliseconds settleTime { 1500 };

    std::string readFile(const std::string& path, std::vector<DocumentError>& errors)
    {
        std::ifstream in(path);
        if (!in.good())
            errors.push_back({ { path, 0 }, "cannot be read" });
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    ParsedConfiguration parseFiles(const Arguments& files)
    {
        std::vector<DocumentError> errors;
        auto base = readFile(files[0], errors);
        auto overlay = files.size() > 1 ? readFile(files[1], errors) : std::string();
        if (!errors.empty())
            return { nullptr, {}, errors };
        return parseConfiguration(base, files[0], overlay, files.size() > 1 ? files[1] : "");
    }

    Exit reportErrors(const std::vector<DocumentError>& errors)
    {
        for (const auto& it : errors)
            std::cerr << toString(it) << "\n";
        std::cerr << errors.size() << " error(s); nothing was applied\n";
        return Exit::InvalidConfiguration;
    }

    // Returns a random id for an edit, so that an edit whose response was lost can be found in the history.
    std::string newEditId()
    {
        std::random_device device;
        std::ostringstream id;
        id << std::hex << device() << device();
        return id.str();
    }

    // Returns the instances whose last reported revision is older than the given one, or is unknown.
    std::vector<std::string> instancesBehind(AdminClient& client, Revision revision)
    {
        std::vector<std::string> behind;
        auto status = client.get("/admin/status").json;
        if (status.at("revision").get<Revision>() < revision)
            behind.push_back(status.at("instance"));
        for (const auto& it : status.at("members")) {
            if (it.at("revision").get<Revision>() < revision)
                behind.push_back(absl::StrCat(it.at("instance").get<std::string>(), " (", it.at("state").get<std::string>(), ")"));
        }
        if (!status.at("instances_listed").get<bool>())
            behind.emplace_back("(the instance list was not read yet)");
        for (const auto& it : status.at("unheard"))
            behind.push_back(absl::StrCat(it.get<std::string>(), " (no heartbeat received)"));
        return behind;
    }

    Exit waitForAll(const ToolOptions& options, AdminClient& client, Revision revision)
    {
        auto end = std::chrono::steady_clock::now() + Seconds(options.timeoutSeconds);
        auto behind = instancesBehind(client, revision);
        auto upToDateSince = std::chrono::steady_clock::now();
        for (auto now = upToDateSince; now < end && now < upToDateSince + settleTime; now = std::chrono::steady_clock::now()) {
            std::this_thread::sleep_for(pollPeriod);
            behind = instancesBehind(client, revision);
            if (!behind.empty())
                upToDateSince = std::chrono::steady_clock::now();
        }
        if (behind.empty()) {
            std::cout << "revision " << revision << " is in force on every live instance\n";
            return Exit::Ok;
        }
        std::cerr << "revision " << revision << " is accepted, but not yet reported by:";
        for (const auto& it : behind)
            std::cerr << " " << it;
        std::cerr << "\nlook at 'skylarkhitch status' of these instances\n";
        return Exit::Failed;
    }

    Exit postEdit(const ToolOptions& options, AdminClient& client, const Json& configuration, Revision base)
    {
        auto response = client.post("/admin/config", { { "edit_id", newEditId() }, { "base", base }, { "author", options.author }, { "configuration", configuration } });
        auto message = response.json.is_object() ? response.json.value("message", response.json.value("error", "")) : std::string();
        if (response.status == 409) {
            std::cerr << "conflict: " << message << "\n";
            return Exit::Conflict;
        }
        if (response.status != 200) {
            std::cerr << "not applied: " << message << "\n";
            return response.status == 503 ? Exit::Unreachable : Exit::Failed;
        }
        auto revision = response.json.at("revision").get<Revision>();
        std::cout << "accepted as revision " << revision << "\n";
        return options.wait ? waitForAll(options, client, revision) : Exit::Ok;
    }

    // Posts an edit that changes one part of the current configuration. The callback returns an error message, or an empty
    // string on success.
    Exit editCurrent(const ToolOptions& options, const std::function<std::string(Json&)>& change)
    {
        AdminClient client(options.operatorAddress);
        auto current = client.get("/admin/config").json;
        auto configuration = current.at("configuration");
        auto error = configuration.is_object() ? change(configuration) : "no configuration is in force; begin with 'config apply'";
        if (!error.empty()) {
            std::cerr << error << "\n";
            return Exit::Failed;
        }
        return postEdit(options, client, configuration, current.at("revision"));
    }

    std::string changeRollout(Json& configuration, const std::string& model, const std::function<void(Json&)>& change)
    {
        if (!configuration.contains("rollouts") || !configuration["rollouts"].contains(model))
            return "no roll-out of model '" + model + "' is under way; see 'rollout start'";
        change(configuration["rollouts"][model]);
        return {};
    }

    // Adds each value of a document under its dotted path, for comparison.
    void flatten(const Json& json, const std::string& path, std::map<std::string, std::string>& lines)
    {
        if (!json.is_object()) {
            lines[path] = json.dump();
            return;
        }
        for (const auto& [key, child] : json.items())
            flatten(child, path.empty() ? key : absl::StrCat(path, ".", key), lines);
    }

}

Exit configCheck(const ToolOptions&, const Arguments& files)
{
    auto parsed = parseFiles(files);
    if (!parsed.errors.empty())
        return reportErrors(parsed.errors);
    std::cout << "valid: " << parsed.configuration->teams.size() << " teams, " << parsed.configuration->versions.size() << " versions, "
              << parsed.configuration->upstreams.size() << " upstreams\n";
    return Exit::Ok;
}

Exit configReference(const ToolOptions&, const Arguments&)
{
    std::cout << configurationReference();
    return Exit::Ok;
}

Exit configShow(const ToolOptions& options, const Arguments&)
{
    auto response = AdminClient(options.operatorAddress).get("/admin/config").json;
    if (!options.json)
        std::cout << "# revision " << response.at("revision") << " by " << response.at("author").get<std::string>() << "\n";
    std::cout << (options.json ? response : response.at("configuration")).dump(2) << "\n";
    return Exit::Ok;
}

Exit configDiff(const ToolOptions& options, const Arguments& files)
{
    auto parsed = parseFiles(files);
    if (!parsed.errors.empty())
        return reportErrors(parsed.errors);
    auto current = AdminClient(options.operatorAddress).get("/admin/config").json.at("configuration");
    std::map<std::string, std::string> before;
    std::map<std::string, std::string> after;
    if (current.is_object())
        flatten(current, "", before);
    flatten(Json::parse(parsed.text), "", after);
    for (const auto& [path, value] : before) {
        if (!after.contains(path) || after[path] != value)
            std::cout << "- " << path << ": " << value << "\n";
    }
    for (const auto& [path, value] : after) {
        if (!before.contains(path) || before[path] != value)
            std::cout << "+ " << path << ": " << value << "\n";
    }
    return Exit::Ok;
}

Exit configApply(const ToolOptions& options, const Arguments& files)
{
    auto parsed = parseFiles(files);
    if (!parsed.errors.empty())
        return reportErrors(parsed.errors);
    AdminClient client(options.operatorAddress);
    auto base = client.get("/admin/config").json.at("revision").get<Revision>();
    return postEdit(options, client, Json::parse(parsed.text), base);
}

Exit configHistory(const ToolOptions& options, const Arguments&)
{
    auto history = AdminClient(options.operatorAddress).get("/admin/config").json.at("history");
    if (options.json) {
        std::cout << history.dump(2) << "\n";
        return Exit::Ok;
    }
    for (const auto& it : history)
        std::cout << "revision " << it.at("revision") << "  " << it.at("author").get<std::string>() << "  edit " << it.at("edit_id").get<std::string>() << "\n";
    return Exit::Ok;
}

Exit withdrawVersion(const ToolOptions& options, const Arguments& arguments)
{
    return editCurrent(options, [&](Json& configuration) -> std::string {
        auto versions = configuration.find("versions");
        if (versions == configuration.end() || !versions->contains(arguments[0]))
            return "no version is named '" + arguments[0] + "'; see 'skylarkhitch versions'";
        // Stored documents hold every scalar as a string; see toJsonText().
        (*versions)[arguments[0]]["withdrawn"] = "true";
        return {};
    });
}

Exit rolloutStart(const ToolOptions& options, const Arguments& arguments)
{
    return editCurrent(options, [&](Json& configuration) -> std::string {
        configuration["rollouts"][arguments[0]] = { { "from", arguments[1] }, { "to", arguments[2] }, { "share", arguments[3] } };
        return {};
    });
}

Exit rolloutAdvance(const ToolOptions& options, const Arguments& arguments)
{
    return editCurrent(options, [&](Json& configuration) -> std::string {
        bool held = false;
        auto error = changeRollout(configuration, arguments[0], [&](Json& rollout) {
            held = rollout.value("held", "false") == "true";
            if (!held)
                rollout["share"] = arguments[1];
        });
        return held ? "the roll-out is held; end the hold with 'rollout start' or go 'rollout back'" : error;
    });
}

Exit rolloutHold(const ToolOptions& options, const Arguments& arguments)
{
    return editCurrent(options, [&](Json& configuration) {
        return changeRollout(configuration, arguments[0], [](Json& rollout) { rollout["held"] = "true"; });
    });
}

Exit rolloutBack(const ToolOptions& options, const Arguments& arguments)
{
    return editCurrent(options, [&](Json& configuration) {
        return changeRollout(configuration, arguments[0], [](Json& rollout) { rollout["share"] = "0"; });
    });
}

}
