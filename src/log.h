#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace egret {

/// Fields that every log line of a process carries, and the lowest level logged.
struct LogIdentity
{
    std::string program;
    std::string instance;
    std::string zone;
    std::string environment; ///< left out of the lines when empty
    std::string level{ "INFO" };
};

/// Starts logging to standard output, one JSON object per line. Logging never
/// blocks: lines below WARN beyond a maximum rate and lines of every level beyond a maximum
/// buffer size are dropped and counted. Call once, before any thread is started.
void startLogging(const LogIdentity &identity);

/// Logs an event with its fields. `event` is a short sentence that starts in lower case.
/// Thread safe.
void logDebug(const std::string &event, const nlohmann::json &fields = nlohmann::json::object());
void logInfo(const std::string &event, const nlohmann::json &fields = nlohmann::json::object());
void logWarn(const std::string &event, const nlohmann::json &fields = nlohmann::json::object());
void logError(const std::string &event, const nlohmann::json &fields = nlohmann::json::object());

} // namespace egret
