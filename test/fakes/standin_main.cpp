// skylarkhitch-standin: a fake platform, engine or service for the quick start and the tests; not part of the product.
// Prints its port on the first line and runs until SIGTERM or SIGINT.

#include "adapters/command_line.h"
#include "fakes/standin.h"

#include <csignal>
#include <iostream>
#include <unistd.h>

namespace {

using namespace skylarkhitch;

struct Arguments {
    char* listen = nullptr;
    char* version = nullptr;
    int quality = 800;
    int perTokenMs = 5;
    int slots = 8;
    int threads = 1;
};

std::unique_ptr<standin::Standin> make(const std::string& role, const Arguments& arguments)
{
    if (role == "platform")
        return standin::makePlatform();
    if (role == "engine")
        return standin::makeEngine(arguments.version ? arguments.version : "", arguments.quality, Milliseconds(arguments.perTokenMs), arguments.slots);
    return role == "service" ? standin::makeService() : nullptr;
}

}

int main(int argc, const char** argv)
{
    Arguments arguments;
    poptOption table[] = {
        { "listen", 'l', POPT_ARG_STRING, &arguments.listen, 0, "where to listen", "IP:PORT" },
        { "version", 0, POPT_ARG_STRING, &arguments.version, 0, "version that the engine serves", "NAME" },
        { "quality", 0, POPT_ARG_INT, &arguments.quality, 0, "quality of the engine's answers", "THOUSANDTHS" },
        { "per-token-ms", 0, POPT_ARG_INT, &arguments.perTokenMs, 0, "time for one token", "MS" },
        { "slots", 0, POPT_ARG_INT, &arguments.slots, 0, "requests at the same time", "N" },
        { "threads", 0, POPT_ARG_INT, &arguments.threads, 0, "server threads", "N" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    CommandLine line("skylarkhitch-standin", argc, argv, table);
    auto* context = line.get();
    auto result = poptGetNextOpt(context);
    const auto* role = poptGetArg(context);
    auto standin = role && result >= -1 ? make(role, arguments) : nullptr;
    if (!standin) {
        std::cerr << "usage: skylarkhitch-standin platform|engine|service [--listen IP:PORT]; see --help\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    HttpServerSettings settings { .listen = arguments.listen ? arguments.listen : "127.0.0.1:0", .threads = static_cast<unsigned int>(arguments.threads) };
    HttpServer server(settings, [&](const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
        if (request.path != "/fault")
            return standin->serve(request, reply);
        for (const auto& [name, value] : request.query)
            standin->faults.set(name, value);
        standin::respondText(*reply, 200, "{}");
    });
    std::cout << server.port() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
