#pragma once

#include "generated/settings.h"
#include "json_fields.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/wait.h>

namespace egret {

inline constexpr std::size_t kKbPerMb = 1024;

/// One program of the system as a process.
class ProgramProcess
{
public:
    ProgramProcess(const std::string &program, const NodeSettings &settings,
                   const std::string &folder)
    {
        const std::string path = folder + "/" + program + ".json";
        std::ofstream(path) << toJson(settings).dump();
        std::string file = std::string(EGRET_PROGRAM_FOLDER) + "/" + program;
        std::string option = "--config";
        std::string value = path;
        std::array<char *, 4> arguments{ file.data(), option.data(), value.data(), nullptr };
        const std::string logPath = folder + "/" + program + ".log";
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        for (const int descriptor : { 1, 2 })
            posix_spawn_file_actions_addopen(&actions, descriptor, logPath.c_str(),
                                             O_CREAT | O_WRONLY | O_APPEND, S_IRUSR | S_IWUSR);
        if (::posix_spawn(&this->id, file.c_str(), &actions, nullptr, arguments.data(), environ)
            != 0)
            this->id = 0;
        posix_spawn_file_actions_destroy(&actions);
    }
    ~ProgramProcess()
    {
        if (this->id == 0)
            return;
        ::kill(this->id, SIGKILL);
        ::waitpid(this->id, nullptr, 0);
    }
    ProgramProcess(const ProgramProcess &) = delete;
    ProgramProcess &operator=(const ProgramProcess &) = delete;

    bool isAlive()
    {
        if (this->id != 0 && ::waitpid(this->id, nullptr, WNOHANG) == this->id)
            this->id = 0;
        return this->id != 0;
    }

    /// Largest resident memory until now in kB; 0 if the process has ended.
    std::size_t peakMemoryKb() const
    {
        std::ifstream file("/proc/" + std::to_string(this->id) + "/status");
        const std::string name = "VmHWM:";
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with(name))
                return std::stoul(line.substr(name.size()));
        }
        return 0;
    }

    std::size_t descriptorCount() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator folder(
                "/proc/" + std::to_string(this->id) + "/fd", error);
        return error ? 0 : static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
    }

private:
    pid_t id{ 0 };
};

/// Bounds of a process, which are also the machine's limits in its settings.
struct ProcessBounds
{
    std::size_t memoryMb{ 0 };
    std::size_t descriptors{ 0 };
};

/// Makes the bounds of a process the limits of the machine in its settings.
inline void limit(NodeSettings &settings, const ProcessBounds &bounds)
{
    settings.memoryMb = static_cast<double>(bounds.memoryMb);
    settings.fileDescriptors = static_cast<double>(bounds.descriptors);
}

} // namespace egret
