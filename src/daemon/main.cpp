// skylarkhitchd: runs one entry instance with the settings of a file.

#include "adapters/command_line.h"
#include "adapters/log.h"
#include "core/check.h"
#include "daemon/daemon.h"
#include "edge/edge_daemon.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace skylarkhitch;

constexpr int exitUsage = 2;
constexpr int exitSettings = 3;

struct Arguments {
    char* settings = nullptr;
    char* overlay = nullptr;
    int check = 0;
    int version = 0;
};

bool readText(const char* path, std::string& text)
{
    std::ifstream in(path);
    std::ostringstream buf;
    buf << in.rdbuf();
    text = buf.str();
    return in.good();
}

DocumentNode loadDocument(const Arguments& arguments, std::vector<DocumentError>& errors)
{
    DocumentNode root;
    for (const char* path : { arguments.settings, arguments.overlay }) {
        if (!path)
            continue;
        std::string text;
        if (!readText(path, text)) {
            errors.push_back({ { path, 0 }, "cannot be read" });
            return root;
        }
        auto tree = parseYaml(text, path, errors);
        root = path == arguments.settings ? tree : mergeTrees(root, tree);
    }
    return root;
}

int report(const std::vector<DocumentError>& errors)
{
    for (const auto& it : errors)
        std::cerr << toString(it) << "\n";
    return exitSettings;
}

// Reads the settings files again for a running instance. Logs errors and returns nullopt, which keeps the current settings.
std::optional<EdgeSettings> reloadEdge(const Arguments& arguments)
{
    std::vector<DocumentError> errors;
    auto root = loadDocument(arguments, errors);
    auto settings = errors.empty() ? parseEdgeSettings(root, errors) : std::nullopt;
    for (const auto& it : errors)
        LogLine(LogLevel::Error, "settings_invalid").with("error", toString(it));
    return settings;
}

int run(const Arguments& arguments)
{
    std::vector<DocumentError> errors;
    auto root = loadDocument(arguments, errors);
    if (!errors.empty())
        return report(errors);
    bool isEdge = isEdgeDocument(root);
    auto edge = isEdge ? parseEdgeSettings(root, errors) : std::nullopt;
    auto node = isEdge ? std::nullopt : parseNodeSettings(root, errors);
    if (!errors.empty())
        return report(errors);
    if (arguments.check) {
        std::cout << "the settings are valid\n";
        return 0;
    }
    if (edge)
        return runEdge(*edge, [&] { return reloadEdge(arguments); });
    assignFreePorts(*node);
    return runDaemon(*node);
}

}

int main(int argc, const char** argv)
{
    Arguments arguments;
    poptOption options[] = {
        { "settings", 's', POPT_ARG_STRING, &arguments.settings, 0, "settings of this instance (YAML)", "FILE" },
        { "overlay", 'o', POPT_ARG_STRING, &arguments.overlay, 0, "settings laid over them", "FILE" },
        { "check", 'c', POPT_ARG_NONE, &arguments.check, 0, "only check the settings", nullptr },
        { "version", 'V', POPT_ARG_NONE, &arguments.version, 0, "print the version", nullptr },
        POPT_AUTOHELP POPT_TABLEEND
    };
    CommandLine line("skylarkhitchd", argc, argv, options);
    auto* context = line.get();
    auto result = poptGetNextOpt(context);
    bool extra = poptPeekArg(context) != nullptr;
    if (arguments.version) {
        std::cout << "skylarkhitchd 0.1.0\n";
        return 0;
    }
    if (result < -1 || extra || !arguments.settings) {
        std::cerr << "usage: skylarkhitchd --settings FILE [--overlay FILE]; see --help\n";
        return exitUsage;
    }
    try {
        return run(arguments);
    } catch (const std::exception& e) {
        std::cerr << "skylarkhitchd: " << e.what() << "\n";
        return exitSettings;
    }
}
