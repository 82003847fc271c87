#include "generated/settings.h"
#include "json_fields.h"
#include "overload_control.h"
#include "types.h"

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <sstream>

using namespace egret;

namespace {

/// Renders deploy/settings.json.in as the platform does, with `numbers` for the named bounds.
std::string renderedSettings(const std::map<std::string, std::string> &numbers)
{
    std::ifstream file(std::string(EGRET_SOURCE_DIR) + "/deploy/settings.json.in");
    std::stringstream content;
    content << file.rdbuf();
    std::string text = content.str();
    std::map<std::string, std::string> values{
        { "nodeName", "\"edge-a-1\"" }, { "zone", "\"a\"" },
        { "region", "\"a\"" },          { "ip", "\"10.0.0.1\"" },
        { "internalPorts", "[1,2]" },   { "seeds", "[\"10.0.0.2:3\"]" },
        { "isBootstrap", "true" }
    };
    values.insert(numbers.begin(), numbers.end());
    const std::regex section(R"(\{\{#zones\}\}[\s\S]*\{\{/zones\}\})");
    text = std::regex_replace(text, section, R"({ "zone": "a", "region": "a" })");
    const std::regex placeholder(R"(\{\{([A-Za-z_.]+)(\|json)?\}\})");
    std::string rendered;
    std::smatch match;
    while (std::regex_search(text, match, placeholder)) {
        const auto value = values.find(match[1]);
        const std::string fallback = match[2].matched ? "1" : "";
        rendered += match.prefix().str() + (value == values.end() ? fallback : value->second);
        text = match.suffix();
    }
    return rendered + text;
}

std::optional<NodeSettings> read(const std::map<std::string, std::string> &numbers)
{
    JsonProblem problem;
    const auto parsed = parseJson(renderedSettings(numbers), problem);
    JsonReader reader;
    NodeSettings settings;
    if (!parsed || !reader.read(*parsed, settings)) {
        ADD_FAILURE() << problem.text() << reader.problem.text();
        return std::nullopt;
    }
    return settings;
}

} // namespace

// Guards against instances that don't start because a bound of the deployment is a fraction.
TEST(NodeSettingsTemplate, EveryBoundMayBeAFraction)
{
    const auto settings = read({ { "bounds.revokeMs", "4999.5" },
                                 { "bounds.drainMs", "2500.25" },
                                 { "bounds.graceS", "7.5" },
                                 { "bounds.version_ms", "9999.9" },
                                 { "bounds.retryBudgetRatio", "0.2" },
                                 { "bounds.budgetSlack", "45.4" },
                                 { "bounds.budgetWindowS", "2.5" },
                                 { "bounds.coldOverrun", "1.5" },
                                 { "limits.cpuShare", "0.15" },
                                 { "limits.linkMbps", "7.3" } });
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->bounds.revoke, 4999ms);
    EXPECT_EQ(millisecondsOf(settings->bounds.stopGrace), 7500ms);
    EXPECT_EQ(settings->bounds.retrySlack, 45.4);
    EXPECT_EQ(millisecondsOf(settings->bounds.retryWindow), 2500ms);
}

TEST(NodeSettingsTemplate, BoundsMayBeZeroOrLarge)
{
    const auto settings = read({ { "bounds.budgetSlack", "0" }, { "bounds.drainMs", "86400000" } });
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->bounds.retrySlack, 0);
    EXPECT_EQ(settings->bounds.drain, 24h);
}

// Guards against a template that turns admission control off, or whose settings no gateway accepts.
TEST(NodeSettingsTemplate, AdmissionControlIsOn)
{
    const auto settings = read({});
    ASSERT_TRUE(settings);
    EXPECT_TRUE(settings->admission.isEnabled);
    EXPECT_EQ(settings->admission.start, 0.9);
    EXPECT_EQ(settings->admission.width, 0.3);
    const OverloadOptions defaults;
    EXPECT_EQ(settings->admission.floor, defaults.floor);
    EXPECT_EQ(overloadOptionsError(defaults), "");
    EXPECT_EQ(overloadOptionsError({ .start = settings->admission.start,
                                     .width = settings->admission.width,
                                     .floor = settings->admission.floor }),
              "");
}

// Guards against settings of speeds that no estimate can work with, and against deployments
// without these settings that no longer start.
TEST(NodeSettingsTemplate, ServerSpeedsAreOnByDefaultAndValidated)
{
    const auto settings = read({});
    ASSERT_TRUE(settings);
    EXPECT_TRUE(settings->serverSpeeds.enabled);
    const auto accepts = [](const std::string &text) {
        JsonProblem problem;
        JsonReader reader;
        ServerSpeedSettings speeds;
        return reader.read(*parseJson(text, problem), speeds);
    };
    EXPECT_TRUE(accepts(R"({ "enabled": false, "probingFloorPercent": 20 })"));
    EXPECT_FALSE(accepts(R"({ "probingFloorPercent": 0 })"));
    EXPECT_FALSE(accepts(R"({ "deadbandPercent": 51 })"));
    EXPECT_FALSE(accepts(R"({ "windowAnswers": 9 })"));
    EXPECT_FALSE(accepts(R"({ "halfLife": 10 })"));
    EXPECT_FALSE(accepts(R"({ "maxStepPercent": 0 })"));
}
