#include "announcement.h"
#include "configuration.h"
#include "names.h"
#include "wire_protocol.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

using namespace egret;

namespace {

using Json = nlohmann::json;

Json routeJson(const std::string &name, const std::string &prefix)
{
    return {
        { "name", name },         { "host", "h.example" }, { "pathPrefix", prefix },
        { "kind", "idempotent" }, { "timeoutMs", 800 },    { "latencyGoalMs", 100 },
        { "priority", 2 },        { "service", "core" },   { "maxAttempts", 2 },
        { "public", false },      { "resumable", false },  { "allowedRegions", Json::array() }
    };
}

Json configJson()
{
    return {
        { "version", 7 },
        { "routes", { routeJson("a", "/a/"), routeJson("ab", "/a/b/") } },
        { "services",
          { { { "name", "core" }, { "maxConnections", 51 }, { "unknownField", 1 } },
            { { "name", "origin" }, { "origin", "172.20.0.3:8006" }, { "maxConnections", 48 } } } },
        { "limits",
          { { "maxHeaderBytes", 16384 },
            { "maxBodyBytes", 4194304 },
            { "headerTimeoutMs", 3000 },
            { "idleTimeoutMs", 15000 } } },
        { "tenants", { { { "name", "t" }, { "apiKeys", { "k1", "k2" } }, { "priority", 1 } } } }
    };
}

Json heartbeatJson()
{
    return { { "service", "llm" },
             { "address", "10.0.0.9:8080" },
             { "zone", "a" },
             { "version", "v1" },
             { "slots", 16 },
             { "state", "ready" },
             { "coldRemainingMs", 1500 },
             { "sequence", 4 },
             { "born", 1700000000000ULL },
             { "models", { { { "name", "m" }, { "version", 2 }, { "adapters", Json::array() } } } },
             { "layers", { { { "source", 0 }, { "to", 16 }, { "version", 2 } } } } };
}

/// Serializes and parses the heartbeat before the call: the integer literals above are stored as
/// signed numbers, and `completeVersion` accepts only unsigned numbers, as the parser makes them.
std::uint64_t completeVersionOf(const Json &heartbeat, std::uint32_t layers)
{
    return platform::completeVersion(Json::parse(heartbeat.dump()), layers);
}

std::string configurationProblem(const Json &config)
{
    std::string problem;
    const auto plan = platform::parsePlan(config.dump(), problem);
    return plan ? planError(*plan) : problem;
}

} // namespace

TEST(PlatformConfiguration, ParsesAllFields)
{
    std::string problem;
    const auto plan = platform::parsePlan(configJson().dump(), problem);
    ASSERT_TRUE(plan) << problem;
    EXPECT_EQ(planError(*plan), "");
    EXPECT_EQ(plan->number, 7U);
    EXPECT_EQ(plan->bounds.maxBodyBytes, 4194304U);
    const PlanIndex index(*plan);
    EXPECT_EQ(index.route("H.example:80", "/a/b/c")->name, "ab");
    EXPECT_EQ(index.route("h.example", "/a/bc")->name, "a");
    EXPECT_EQ(index.route("h.example", "/x"), nullptr);
    EXPECT_EQ(index.customer("k2")->name, "t");
    EXPECT_EQ(index.customer("k3"), nullptr);
    EXPECT_EQ(index.service("origin")->origin->endpoint.port, 8006);
}

// Guards against streams of a route without a limit that stop those of another at the same engines,
// and against documents that are refused because of a field that earlier versions ignored.
TEST(PlatformConfiguration, LowestPauseLimitOfItsRoutesHoldsForAService)
{
    const auto limitOf = [](const Json &first, const Json &second) {
        Json document = configJson();
        document["routes"][0]["gapTargetMs"] = first;
        document["routes"][1]["gapTargetMs"] = second;
        std::string problem;
        auto plan = platform::parsePlan(document.dump(), problem);
        return plan ? PlanIndex(std::move(*plan)).pauseLimit("core") : -1ms;
    };
    EXPECT_EQ(limitOf(400, 300), 300ms);
    EXPECT_EQ(limitOf(0, 300), 300ms);
    EXPECT_EQ(limitOf(Json(), "none"), 0ms);
    EXPECT_EQ(limitOf(-5, -5), 0ms);
}

TEST(PlatformConfiguration, RejectsInvalidConfigurations)
{
    Json unknownService = configJson();
    unknownService["routes"][0]["service"] = "none";
    EXPECT_NE(configurationProblem(unknownService), "");
    Json samePrefix = configJson();
    samePrefix["routes"][1]["pathPrefix"] = "/a/";
    EXPECT_NE(configurationProblem(samePrefix), "");
    Json zeroWeight = configJson();
    zeroWeight["routes"][0]["weightedServices"] = { { { "service", "core" }, { "weight", 0 } } };
    EXPECT_NE(configurationProblem(zeroWeight), "");
    Json zeroTimeout = configJson();
    zeroTimeout["routes"][0]["timeoutMs"] = 0;
    EXPECT_NE(configurationProblem(zeroTimeout), "");
    Json sharedKey = configJson();
    sharedKey["tenants"].push_back({ { "name", "u" }, { "apiKeys", { "k1" } } });
    EXPECT_NE(configurationProblem(sharedKey), "");
    std::string problem;
    const std::string text = configJson().dump();
    EXPECT_FALSE(platform::parsePlan(text.substr(0, text.size() / 2), problem));
    Json noRoutes = configJson();
    noRoutes.erase("routes");
    EXPECT_FALSE(platform::parsePlan(noRoutes.dump(), problem));
}

TEST(PlatformAnnouncement, ParsesAndRejectsMissingOrMistypedFields)
{
    std::string problem;
    const auto record = platform::parseAnnouncement("i-1", heartbeatJson().dump(), problem);
    ASSERT_TRUE(record) << problem;
    EXPECT_EQ(record->version, 2U);
    EXPECT_EQ(record->model, "m");
    EXPECT_EQ(record->coldFor, 1500ms);
    for (const char *field :
         { "service", "address", "zone", "slots", "state", "sequence", "born" }) {
        Json missing = heartbeatJson();
        missing.erase(field);
        EXPECT_FALSE(platform::parseAnnouncement("i-1", missing.dump(), problem)) << field;
        Json mistyped = heartbeatJson();
        mistyped[field] = Json::array();
        EXPECT_FALSE(platform::parseAnnouncement("i-1", mistyped.dump(), problem)) << field;
    }
    Json unknownState = heartbeatJson();
    unknownState["state"] = "resting";
    EXPECT_FALSE(platform::parseAnnouncement("i-1", unknownState.dump(), problem));
    EXPECT_FALSE(platform::parseAnnouncement("i-1", "\xff\xfe", problem));
}

TEST(PlatformAnnouncement, CompleteVersionRequiresEveryLayer)
{
    Json heartbeat = heartbeatJson();
    EXPECT_EQ(completeVersionOf(heartbeat, 16), 2U);
    EXPECT_EQ(completeVersionOf(heartbeat, 17), 0U);
    heartbeat["layers"] = { { { "source", 0 }, { "to", 8 }, { "version", 2 } },
                            { { "source", 9 }, { "to", 16 }, { "version", 2 } } };
    EXPECT_EQ(completeVersionOf(heartbeat, 16), 0U);
    heartbeat["layers"] = { { { "source", 0 }, { "to", 8 }, { "version", 1 } },
                            { { "source", 8 }, { "to", 16 }, { "version", 2 } } };
    EXPECT_EQ(completeVersionOf(heartbeat, 16), 0U);
    heartbeat["layers"] = Json::array();
    EXPECT_EQ(completeVersionOf(heartbeat, 16), 0U);
}

TEST(PlatformHeaders, RemovesTheKeyAndForgedHeadersBeforeForwarding)
{
    const HttpRequest request{
        .method = "POST",
        .target = "/a/",
        .path = "/a/",
        .headers = { { "Host", "h" },
                     { platform::kAttemptId, "r1" },
                     { platform::kDeadline, "900" },
                     { platform::kAuthorization, "Bearer k1" },
                     { platform::kTenant, "forged" },
                     { platform::kExpectInstance, "forged" },
                     { platform::kEnginePathHeader, "10.0.0.1:1=0-16" },
                     { platform::kTokenCount, "1460,80" },
                     { platform::kLengthHint, "55" },
                     { platform::kPromptPrefix, "5c1e07a2:800, 91bd3f06:410,e4402b7d:250" },
                     { "Connection", "X-Hop" },
                     { "X-Hop", "1" },
                     { "X-Kept", "2" } },
    };
    const GatewayProtocol protocol = platform::gatewayProtocol();
    const RequestMetadata metadata = protocol.parseRequest(request);
    EXPECT_EQ(metadata.id, "r1");
    EXPECT_EQ(metadata.key, "k1");
    EXPECT_EQ(metadata.remaining, 900ms);
    EXPECT_EQ(metadata.promptTokens, 1460.0);
    EXPECT_EQ(metadata.maxOutputTokens, 80.0);
    EXPECT_EQ(metadata.expectedOutputTokens, 55.0);
    EXPECT_EQ(metadata.promptSegments, (std::vector<std::string>{ "5c1e07a2", "91bd3f06" }));
    const HttpHeaders headers = protocol.upstreamHeaders(
            request, { .upstream = "i-1", .customer = "t", .remaining = 500ms });
    EXPECT_EQ(headerValue(headers, platform::kTenant), "t");
    EXPECT_EQ(headerValue(headers, platform::kExpectInstance), "i-1");
    EXPECT_EQ(headerValue(headers, platform::kDeadline), "500");
    EXPECT_EQ(headerValue(headers, platform::kAuthorization), "");
    EXPECT_EQ(headerValue(headers, platform::kEnginePathHeader), "");
    EXPECT_EQ(headerValue(headers, "X-Hop"), "");
    EXPECT_EQ(headerValue(headers, "X-Kept"), "2");
    EXPECT_EQ(headerValue(headers, platform::kTokenCount), "1460,80");
    EXPECT_EQ(headerValue(headers, platform::kLengthHint), "55");
    EXPECT_EQ(std::ranges::count_if(headers,
                                    [](const auto &each) {
                                        return isSameHeaderName(each.first, platform::kTenant);
                                    }),
              1);
}

// Guards against predictions that aren't numbers because a client stated such a size.
TEST(PlatformHeaders, IgnoresNumbersOfTokensThatAreNone)
{
    const auto metadataOf = [](const std::string &count, const std::string &hint) {
        const HttpRequest request{ .headers = { { platform::kTokenCount, count },
                                                { platform::kLengthHint, hint } } };
        return platform::gatewayProtocol().parseRequest(request);
    };
    for (const std::string value : { "nan", "inf", "-inf", "-3", "", "x", "1e999" }) {
        const RequestMetadata metadata = metadataOf(value + "," + value, value);
        EXPECT_EQ(metadata.promptTokens, 0) << value;
        EXPECT_EQ(metadata.maxOutputTokens, std::nullopt) << value;
        EXPECT_EQ(metadata.expectedOutputTokens, std::nullopt) << value;
    }
    EXPECT_EQ(metadataOf("100", " 7").maxOutputTokens, std::nullopt);
    EXPECT_EQ(metadataOf("100", " 7").expectedOutputTokens, 7.0);
    EXPECT_EQ(metadataOf("100, 60", "").maxOutputTokens, 60.0);
    EXPECT_LE(metadataOf("1e300,1e300", "1e300").promptTokens, 1e9);
}

TEST(PlatformHeaders, ReadsTheLowestRequestLimitAndIgnoresWhatIsNoRate)
{
    const auto limitOf = [](const std::vector<std::string> &values) {
        HttpHead head{ .status = 200 };
        for (const std::string &value : values)
            head.headers.emplace_back(platform::kServerLimit, value);
        return platform::gatewayProtocol().parseAnswerHead(head).requestLimit;
    };
    EXPECT_EQ(limitOf({ "0.5" }), 0.5);
    EXPECT_EQ(limitOf({ "0" }), 0.0);
    EXPECT_EQ(limitOf({ " 12 " }), 12.0);
    EXPECT_EQ(limitOf({ "3", "2" }), 2.0);
    EXPECT_EQ(limitOf({ "2, NaN, 3" }), 2.0);
    for (const std::string value : { "NaN", "inf", "-1", "1e999", "2 a second", "", ",", "0x2" })
        EXPECT_EQ(limitOf({ value }), std::nullopt) << value;
    EXPECT_EQ(limitOf({}), std::nullopt);
}
