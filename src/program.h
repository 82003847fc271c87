#pragma once

#include "generated/settings.h"
#include "json_fields.h"
#include "types.h"

#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Version that `--version` prints.
inline constexpr const char *kProgramVersion = "0.1.0";

/// Exit status for a bad command line or bad settings.
inline constexpr int kExitUsage = 2;

/// What the command line of a daemon asks for.
struct DaemonOptions
{
    std::string configPath;
    bool checkOnly{ false };
};

/// Parses `--config`, `--check-config`, `--help` and `--version`. Empty when
/// the process is to exit with `status`.
std::optional<DaemonOptions> parseDaemonOptions(int argc, const char **argv,
                                                const std::string &program, int &status);

/// Reads a whole file; empty when it can't be read. Thread safe.
std::optional<std::string> readFile(const std::string &path);

/// Loads checked settings from JSON with comments; prints one clear message
/// and returns empty when they are bad.
template <class Settings>
std::optional<Settings> loadSettings(const std::string &path, std::string &problem)
{
    const auto text = readFile(path);
    if (!text) {
        problem = path + ": can't be read";
        return std::nullopt;
    }
    JsonProblem malformed;
    const auto json = parseJson(*text, malformed);
    if (!json) {
        problem = path + ": " + malformed.text();
        return std::nullopt;
    }
    Settings settings;
    JsonReader reader;
    if (!reader.read(*json, settings)) {
        problem = path + ": " + reader.problem.text();
        return std::nullopt;
    }
    return settings;
}

/// Blocks SIGTERM and SIGINT in this thread and all it starts later.
void blockStopSignals();

/// Waits for a stop signal. Call from the main thread after `blockStopSignals`.
void waitForStopSignal();

/// True when another stop signal comes within `limit`.
bool waitForSecondSignal(Milliseconds limit);

/// What a service is asked by signals.
enum class ServiceSignal : std::uint8_t { none, stop, reload };

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and all it starts later.
void blockServiceSignals();

/// The signal that comes within `limit`. Call from the main thread after
/// `blockServiceSignals`.
ServiceSignal waitForSignal(Milliseconds limit);

/// A number that grows with each start of a process on this machine; names an
/// incarnation.
std::uint64_t newIncarnation();

/// Runs a daemon: parses options, loads settings, starts `body` and returns
/// the exit status. `body` gets the checked settings.
template <class Settings, class Body>
int runDaemon(int argc, const char **argv, const std::string &program, Body body)
{
    int status = 0;
    const auto options = parseDaemonOptions(argc, argv, program, status);
    if (!options)
        return status;
    std::string problem;
    const auto settings = loadSettings<Settings>(options->configPath, problem);
    if (!settings) {
        std::fprintf(stderr, "%s: %s\n", program.c_str(), problem.c_str());
        return kExitUsage;
    }
    if (options->checkOnly)
        return 0;
    blockStopSignals();
    return body(*settings);
}

} // namespace egret
