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

/// Exit status for an invalid command line or invalid settings.
inline constexpr int kExitUsage = 2;

/// Command-line options of a daemon.
struct DaemonOptions
{
    std::string configPath;
    bool checkOnly{ false };
};

/// Parses `--config`, `--check-config`, `--help` and `--version`. Returns empty when
/// the process must exit with `status`. `program` is the name of the executable.
std::optional<DaemonOptions> parseDaemonOptions(int argc, const char **argv,
                                                const std::string &program, int &status);

/// Reads a whole file; empty when it can't be read. Thread safe.
std::optional<std::string> readFile(const std::string &path);

/// Loads and checks settings from JSON with comments. Returns empty and sets
/// `problem` to a one-line message when the file can't be read or is invalid.
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

/// Blocks SIGTERM and SIGINT in this thread and the threads that it starts later;
/// ignores SIGPIPE.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT. Call from the main thread after `blockStopSignals`.
void waitForStopSignal();

/// Waits for another stop signal. Returns false when no signal arrives within `limit`.
bool waitForSecondSignal(Milliseconds limit);

/// Action that a signal requests of a daemon: SIGTERM and SIGINT stop the daemon, SIGHUP
/// reloads its settings.
enum class ServiceSignal : std::uint8_t { none, stop, reload };

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and the threads that it starts
/// later; ignores SIGPIPE.
void blockServiceSignals();

/// Waits for a signal. Returns `none` when no signal arrives within `limit`. Call from the main
/// thread after `blockServiceSignals`.
ServiceSignal waitForSignal(Milliseconds limit);

/// Number of a new incarnation, which is one run of a process: the wall-clock time in
/// microseconds. A later run on this machine gets a higher number.
std::uint64_t newIncarnation();

/// Runs a daemon: parses options, loads settings and calls `body` with the checked
/// settings. Returns the exit status.
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
