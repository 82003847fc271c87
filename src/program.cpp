#include "program.h"

#include <csignal>
#include <popt.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace egret {

std::optional<DaemonOptions> parseDaemonOptions(int argc, const char **argv,
                                                const std::string &program, int &status)
{
    char *config = nullptr;
    int check = 0;
    int version = 0;
    const poptOption table[] = { { "config", 'c', POPT_ARG_STRING, static_cast<void *>(&config), 0,
                                   "settings file, JSON with comments", "FILE" },
                                 { "check-config", 0, POPT_ARG_NONE, static_cast<void *>(&check), 0,
                                   "check the settings and exit", nullptr },
                                 { "version", 0, POPT_ARG_NONE, static_cast<void *>(&version), 0,
                                   "print the version and exit", nullptr },
                                 POPT_AUTOHELP POPT_TABLEEND };
    const poptContext context = poptGetContext(program.c_str(), argc, argv, table, 0);
    const int parsed = poptGetNextOpt(context);
    std::optional<DaemonOptions> options;
    status = 0;
    if (parsed < -1) {
        std::fprintf(stderr, "%s: %s: %s\n", program.c_str(), poptBadOption(context, 0),
                     poptStrerror(parsed));
        status = kExitUsage;
    } else if (version != 0) {
        std::printf("%s %s\n", program.c_str(), kProgramVersion);
    } else if (config == nullptr) {
        std::fprintf(stderr, "%s: --config FILE is required\n", program.c_str());
        status = kExitUsage;
    } else {
        options = DaemonOptions{ .configPath = config, .checkOnly = check != 0 };
    }
    poptFreeContext(context);
    return options;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream content;
    content << file.rdbuf();
    if (!file && !file.eof())
        return std::nullopt;
    return std::move(content).str();
}

namespace {

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void blockStopSignals()
{
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const sigset_t set = stopSignals();
    int received = 0;
    sigwait(&set, &received);
}

bool waitForSecondSignal(Milliseconds limit)
{
    const sigset_t set = stopSignals();
    const timespec wait{ .tv_sec = limit.count() / 1000,
                         .tv_nsec = (limit.count() % 1000) * 1000000 };
    return sigtimedwait(&set, nullptr, &wait) > 0;
}

void blockServiceSignals()
{
    sigset_t set = stopSignals();
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    signal(SIGPIPE, SIG_IGN);
}

ServiceSignal waitForSignal(Milliseconds limit)
{
    sigset_t set = stopSignals();
    sigaddset(&set, SIGHUP);
    const timespec wait{ .tv_sec = limit.count() / 1000,
                         .tv_nsec = (limit.count() % 1000) * 1000000 };
    const int received = sigtimedwait(&set, nullptr, &wait);
    if (received < 0)
        return ServiceSignal::none;
    return received == SIGHUP ? ServiceSignal::reload : ServiceSignal::stop;
}

std::uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace egret
