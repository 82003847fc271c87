#include "admin_api.h"
#include "control_state.h"
#include "json_fields.h"
#include "program.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>

using namespace egret;

namespace {

const std::string kDigest(64, 'a');

nlohmann::json validDocument()
{
    return { { "environment", "e" },
             { "weights",
               { { "model", "m" },
                 { "version", kDigest },
                 { "sources", { "http://127.0.0.1:1" } },
                 { "requiredReplicas", 1 } } },
             { "customers", { { { "name", "bakery" }, { "keyDigest", kDigest } } } },
             { "services",
               { { { "name", "s" }, { "prefix", "/s" }, { "protectedPaths", { "/s/act" } } } } },
             { "objectives",
               { { { "route", "m" },
                   { "kind", "firstToken" },
                   { "threshold", 550 },
                   { "target", 0.95 } } } } };
}

std::string problemOf(const nlohmann::json &document)
{
    std::string problem;
    return parseDocument(document.dump(), problem) ? "" : problem;
}

/// Error for the valid document with `value` at the JSON pointer `pointer`; empty when the
/// document is accepted.
std::string problemWithChange(const std::string &pointer, const nlohmann::json &value)
{
    nlohmann::json document = validDocument();
    document[nlohmann::json::json_pointer(pointer)] = value;
    return problemOf(document);
}

} // namespace

TEST(Document, AcceptsAValidDocumentWithComments)
{
    std::string problem;
    EXPECT_TRUE(parseDocument("// live\n" + validDocument().dump(), problem)) << problem;
}

TEST(Document, ReportsThePathOfEachError)
{
    // The message "stands twice" reports a duplicate value.
    const std::tuple<std::string, nlohmann::json, std::string> cases[] = {
        { "/weights/version", "short", "$.weights.version:" },
        { "/weights/sources", nlohmann::json::array(), "$.weights.sources:" },
        { "/weights/requiredReplicas", -1, "$.weights.requiredReplicas:" },
        { "/weights/requiredReplicas", 1.5, "$.weights.requiredReplicas:" },
        { "/weights/extra", 1, "$.weights.extra: unknown field" },
        { "/customers/0/name", "", "$.customers[0].name:" },
        { "/customers/1",
          { { "name", "bakery" }, { "keyDigest", std::string(64, 'b') } },
          "$.customers[1].name: stands twice" },
        { "/customers/1",
          { { "name", "clinic" }, { "keyDigest", kDigest } },
          "$.customers[1].keyDigest: stands twice" },
        { "/services/0/protectedPaths/0", "/other", "$.services[0].protectedPaths:" },
        { "/objectives/0/target", 1, "$.objectives[0].target:" },
        { "/objectives/0/threshold", 0, "$.objectives[0].threshold:" },
        { "/objectives/0/kind", "speed", "$.objectives[0].kind: one of" },
        { "/zonesOut", "zone", "$.zonesOut: an array" },
        { "/limits", { { "deadline", 1 } }, "$.limits.deadline: is less than" },
    };
    for (const auto &[pointer, value, expected] : cases)
        EXPECT_EQ(problemWithChange(pointer, value).substr(0, expected.size()), expected)
                << pointer;
}

TEST(Document, RejectsMalformedJson)
{
    std::string problem;
    EXPECT_FALSE(parseDocument("{", problem));
    EXPECT_FALSE(parseDocument("\xff\xfe", problem));
    EXPECT_FALSE(parseDocument("[]", problem));
    EXPECT_FALSE(parseDocument(std::string(100000, '['), problem));
}

TEST(Settings, ReportsAnErrorInASingleLine)
{
    const std::string path = testing::TempDir() + "/egret-settings.json";
    std::ofstream(path) << R"({"instance":"a","role":"origin","httpAddress":"localhost:80"})";
    std::string problem;
    EXPECT_FALSE(loadSettings<StandinSettings>(path, problem));
    EXPECT_NE(problem.find("$.httpAddress: an IP address and port is expected"), std::string::npos);
    EXPECT_EQ(problem.find('\n'), std::string::npos);
    std::filesystem::remove(path);
    EXPECT_FALSE(loadSettings<StandinSettings>(path, problem));
    EXPECT_NE(problem.find("can't be read"), std::string::npos);
}

TEST(OpenApi, DescribesExactlyTheOperationsOfTheAdministrationApi)
{
    const auto text = readFile(EGRET_SOURCE_DIR "/docs/openapi.json");
    ASSERT_TRUE(text);
    const auto api = nlohmann::json::parse(*text);
    std::vector<std::pair<std::string, std::string>> described;
    for (const auto &[path, item] : api["paths"].items()) {
        for (const char *method : { "get", "put", "post", "delete" }) {
            std::string upper = method;
            std::ranges::transform(upper, upper.begin(),
                                   [](unsigned char c) { return std::toupper(c); });
            if (path.starts_with("/admin/") && item.contains(method))
                described.emplace_back(upper, path);
        }
    }
    auto served = AdminApi::operations();
    std::ranges::sort(described);
    std::ranges::sort(served);
    EXPECT_EQ(described, served);
}
