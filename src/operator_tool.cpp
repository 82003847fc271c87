#include "operator_tool.h"

#include "bench.h"
#include "burn_report.h"
#include "digest.h"
#include "http_client.h"
#include "manifest.h"
#include "program.h"
#include "request_trace.h"
#include "swarm_cost.h"

#include <nlohmann/json.hpp>
#include <popt.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace egret {

namespace {

constexpr Milliseconds kCallTimeout = 8s;
constexpr int kExitFailed = 1;

/// Command-line options; each command uses some of them.
struct ToolOptions
{
    std::string entry;
    std::string token;
    std::string environment;
    std::string file;
    std::string revision;
    std::string requestId;
    std::string stage{ "production" };
    std::string model;
    std::string out;
    std::string chunkBytes{ "1048576" };
    std::string replicas;
    std::vector<std::string> arguments; ///< positional arguments after the command
};

/// Sends a request to the administration API and waits for the answer. `path` starts after
/// /admin/v1.
HttpResult callAdmin(const ToolOptions &options, const std::string &method, const std::string &path,
                     const std::string &body, HttpHeaders headers)
{
    HttpClient client;
    headers.emplace_back("Authorization", "Bearer " + options.token);
    return client.callAndWait({ .method = method,
                                .url = "http://" + options.entry + "/admin/v1" + path,
                                .headers = std::move(headers),
                                .body = body,
                                .timeout = kCallTimeout });
}

int printResult(const HttpResult &result)
{
    if (!result.complete) {
        std::fprintf(stderr, "egretctl: no answer: %s\n", result.error.c_str());
        return kExitFailed;
    }
    std::printf("%s\n", result.body.c_str());
    return result.status < 300 ? 0 : kExitFailed;
}

/// ETag of the current revision of a stage; "0", with the quotes, when the stage has no
/// revision or no answer arrives.
std::string currentETag(const ToolOptions &options, const std::string &stage)
{
    const HttpResult result =
            callAdmin(options, "GET", "/environments/" + options.environment + "/" + stage, "", {});
    const std::string tag = headerValue(result.headers, "ETag");
    return tag.empty() ? "\"0\"" : tag;
}

std::string requestIdOf(const ToolOptions &options)
{
    return options.requestId.empty() ? "ctl-" + std::to_string(newIncarnation())
                                     : options.requestId;
}

int runSubmit(const ToolOptions &options)
{
    const auto text = readFile(options.file);
    if (!text) {
        std::fprintf(stderr, "egretctl: %s: can't be read\n", options.file.c_str());
        return kExitUsage;
    }
    const std::string tag = options.revision.empty() ? currentETag(options, "trial")
                                                     : "\"" + options.revision + "\"";
    return printResult(
            callAdmin(options, "PUT", "/environments/" + options.environment + "/trial", *text,
                      { { "If-Match", tag }, { "Idempotency-Key", requestIdOf(options) } }));
}

int runPromote(const ToolOptions &options)
{
    std::string revision = options.revision;
    if (revision.empty()) {
        revision = currentETag(options, "trial");
        revision = revision.substr(1, revision.size() - 2);
    }
    const std::string tag = currentETag(options, "production");
    return printResult(
            callAdmin(options, "PUT", "/environments/" + options.environment + "/production",
                      "{\"revision\":" + revision + "}",
                      { { "If-Match", tag }, { "Idempotency-Key", requestIdOf(options) } }));
}

int runShow(const ToolOptions &options)
{
    return printResult(callAdmin(
            options, "GET", "/environments/" + options.environment + "/" + options.stage, "", {}));
}

int runStatus(const ToolOptions &options)
{
    return printResult(callAdmin(options, "GET", "/status", "", {}));
}

int runAudit(const ToolOptions &options)
{
    const std::string after = options.arguments.empty() ? "0" : options.arguments.front();
    return printResult(callAdmin(options, "GET", "/audit/" + after, "", {}));
}

int runMembers(const ToolOptions &options)
{
    return printResult(callAdmin(options, "GET", "/members", "", {}));
}

int runDigest(const ToolOptions &options)
{
    for (const std::string &word : options.arguments)
        std::printf("%s\n", digestOf(word).c_str());
    return 0;
}

/// Publishes a file as a weights version in the folder of an origin.
int runManifest(const ToolOptions &options)
{
    const auto manifest =
            buildManifest(options.file, options.model, std::stoul(options.chunkBytes));
    if (!manifest) {
        std::fprintf(stderr, "egretctl: %s: can't be read\n", options.file.c_str());
        return kExitUsage;
    }
    const std::string text = manifestText(*manifest);
    const std::string version = digestOf(text);
    std::error_code error;
    std::filesystem::create_directories(options.out, error);
    std::filesystem::copy_file(options.file, options.out + "/" + version + ".bin",
                               std::filesystem::copy_options::overwrite_existing, error);
    std::ofstream(options.out + "/" + version + ".manifest", std::ios::binary) << text;
    if (error) {
        std::fprintf(stderr, "egretctl: %s: %s\n", options.out.c_str(), error.message().c_str());
        return kExitFailed;
    }
    std::printf("%s\n", version.c_str());
    return 0;
}

std::vector<std::string> splitList(const std::string &list)
{
    std::vector<std::string> items;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

/// Merges the counts of the given entry instances into one report.
int runReport(const ToolOptions &options)
{
    BurnReportBuilder builder;
    std::vector<std::string> missing;
    for (const std::string &entry : splitList(options.entry)) {
        ToolOptions entryOptions = options;
        entryOptions.entry = entry;
        const HttpResult result = callAdmin(entryOptions, "GET", "/service-levels", "", {});
        const auto body = nlohmann::json::parse(result.body, nullptr, false);
        if (!result.complete || result.status != 200 || !builder.add(body))
            missing.push_back(entry);
    }
    const auto now = std::chrono::floor<std::chrono::minutes>(std::chrono::system_clock::now());
    BurnReport report = builder.report(now);
    report.missing = missing;
    std::printf("%s", burnText(report).c_str());
    if (!options.out.empty())
        std::ofstream(options.out, std::ios::binary) << burnHtml(report);
    return missing.empty() ? 0 : kExitFailed;
}

/// Explains one request from log files: `trace REQUEST-ID FILE...`.
int runTrace(const ToolOptions &options)
{
    if (options.arguments.size() < 2) {
        std::fprintf(stderr, "egretctl: trace requires a request id and log files\n");
        return kExitUsage;
    }
    RequestTrace trace(options.arguments.front());
    for (std::size_t i = 1; i < options.arguments.size(); ++i) {
        std::ifstream file(options.arguments[i]);
        if (!file) {
            std::fprintf(stderr, "egretctl: %s: can't be read\n", options.arguments[i].c_str());
            return kExitUsage;
        }
        for (std::string line; std::getline(file, line);)
            trace.addLine(line);
    }
    std::printf("%s", trace.text().c_str());
    if (trace.unreadableLineCount() > 0)
        std::fprintf(stderr, "egretctl: %zu lines can't be read\n", trace.unreadableLineCount());
    return trace.isFound() ? 0 : kExitFailed;
}

int runBench(const ToolOptions &)
{
    const auto parts = benchParts();
    for (const BenchPart &part : parts)
        std::printf("%-10s %s\n", part.name.c_str(), part.signature.c_str());
    std::printf("signature  %s\n", benchSignature(parts).c_str());
    return 0;
}

/// Measures the decisions that distribute weights to `options.replicas` replicas and prints
/// their cost.
int runSwarmCost(const ToolOptions &options)
{
    SwarmCostOptions cost;
    if (!options.replicas.empty())
        cost.replicas = std::stoul(options.replicas);
    const SwarmCost measured = measureSwarmCost(cost);
    const nlohmann::json out = { { "replicas", cost.replicas },
                                 { "chunks", cost.chunks },
                                 { "whole", measured.isComplete },
                                 { "decision_us_p99", measured.decisionMicrosP99 },
                                 { "messages_per_replica", measured.messagesPerReplica },
                                 { "control_bytes_per_replica", measured.controlBytesPerReplica },
                                 { "memory_mb", measured.memoryMb },
                                 { "source_copies", measured.sourceCopies },
                                 { "modelled_s", measured.seconds } };
    std::printf("%s\n", out.dump().c_str());
    return measured.isComplete ? 0 : kExitFailed;
}

struct ToolCommand
{
    const char *help;
    std::function<int(const ToolOptions &)> run;
};

const std::map<std::string, ToolCommand> &commands()
{
    static const std::map<std::string, ToolCommand> table = {
        { "submit", { "store a document as the trial revision", runSubmit } },
        { "promote", { "put the trial revision into production", runPromote } },
        { "show", { "print a stage's document", runShow } },
        { "status", { "print upstreams and the revision in force", runStatus } },
        { "audit", { "print changes and refusals after a log index", runAudit } },
        { "members", { "print the control instances", runMembers } },
        { "digest", { "print the digest of each word", runDigest } },
        { "manifest", { "publish a file as a weights version", runManifest } },
        { "report", { "merge service-level burn; --out FILE writes HTML", runReport } },
        { "trace", { "explain a request from log files: trace ID FILE...", runTrace } },
        { "bench", { "print the signature of the decision logic", runBench } },
        { "swarm-cost", { "measure the cost of deciding a distribution", runSwarmCost } },
    };
    return table;
}

int printUsage()
{
    std::fprintf(stderr, "egretctl: a command is required:\n");
    for (const auto &[name, command] : commands())
        std::fprintf(stderr, "  %-10s %s\n", name.c_str(), command.help);
    return kExitUsage;
}

/// A popt text option and the field of ToolOptions that it sets.
struct TextOption
{
    const char *name;
    const char *help;
    std::string ToolOptions::*field;
    char *value{ nullptr }; ///< set by popt, null when the option is not given
};

} // namespace

int runOperatorTool(int argc, const char **argv)
{
    std::vector<TextOption> textOptions = {
        { "entry", "address of an entry instance; comma-separated for report",
          &ToolOptions::entry },
        { "token", "operator's bearer token", &ToolOptions::token },
        { "environment", "environment", &ToolOptions::environment },
        { "file", "document or weights file", &ToolOptions::file },
        { "revision", "revision that submit expects, or that promote promotes",
          &ToolOptions::revision },
        { "request-id", "identity of the change, the same in a resend", &ToolOptions::requestId },
        { "stage", "trial or production", &ToolOptions::stage },
        { "model", "model name", &ToolOptions::model },
        { "out", "folder to publish in, or file for a report", &ToolOptions::out },
        { "chunk-bytes", "chunk size in bytes", &ToolOptions::chunkBytes },
        { "replicas", "replicas of the distribution for swarm-cost", &ToolOptions::replicas },
    };
    std::vector<poptOption> table;
    table.reserve(textOptions.size() + 2);
    for (TextOption &text : textOptions)
        table.push_back({ text.name, 0, POPT_ARG_STRING, static_cast<void *>(&text.value), 0,
                          text.help, "TEXT" });
    table.push_back({ nullptr, 0, POPT_ARG_INCLUDE_TABLE, static_cast<void *>(poptHelpOptions), 0,
                      "Help options:", nullptr });
    table.push_back(POPT_TABLEEND);
    const poptContext context = poptGetContext("egretctl", argc, argv, table.data(), 0);
    const int parsed = poptGetNextOpt(context);
    ToolOptions options;
    for (const TextOption &text : textOptions) {
        if (text.value != nullptr)
            options.*text.field = text.value;
    }
    while (const char *word = poptGetArg(context))
        options.arguments.emplace_back(word);
    poptFreeContext(context);
    if (parsed < -1 || options.arguments.empty() || !commands().contains(options.arguments.front()))
        return printUsage();
    const ToolCommand &command = commands().at(options.arguments.front());
    options.arguments.erase(options.arguments.begin());
    return command.run(options);
}

} // namespace egret
