#include "broken_responses.h"
#include "deployment_fixture.h"
#include "faulty_server.h"

using namespace egret;

namespace {

constexpr std::size_t kLongUpload = 4U << 20U;

/// A gateway before services that all give the same faulty answer.
class BrokenAnswers : public DeploymentTest
{
protected:
    void SetUp() override
    {
        DeploymentOptions options;
        for (std::uint32_t i = 0; i < kZoneCount; ++i) {
            this->servers.push_back(std::make_unique<FaultyServer>(FaultyAnswer{}));
            options.serviceEndpoints.push_back(this->servers.back()->endpoint());
        }
        this->startAll(options, 1);
        ServingPlan plan = this->deployment->plan(4, "key");
        plan.bounds.maxBodyBytes = 2 * kLongUpload;
        ASSERT_TRUE(waitUntil(kStartTimeout, [&] {
            return this->deployment
                           ->callRegistry(0, "POST", platform::kReplaceConfigPath,
                                          platform::configText(plan))
                           .status
                   == 200;
        }));
        ASSERT_TRUE(this->waitUntilServed());
    }

    void TearDown() override
    {
        this->DeploymentTest::TearDown();
        this->servers.clear();
    }

    /// Fields by which a gateway recognises the answer to the request `id`.
    static std::string answerFields(const std::string &id)
    {
        std::string fields;
        for (const auto &[name, value] : platform::standinAnswerHeaders(id, 0))
            fields += name + ": " + value + "\r\n";
        return fields;
    }

    static FaultyAnswer soundAnswer(const std::string &id)
    {
        return { .bytes = "HTTP/1.1 200 OK\r\n" + answerFields(id) + std::string(kSizedRest) };
    }

    /// Sends a request that each service answers with `answer`.
    Deployment::Response request(const std::string &path, const std::string &id,
                                 const FaultyAnswer &answer, std::size_t bodySize = 10)
    {
        for (const auto &server : this->servers)
            server->setAnswer(answer);
        return this->deployment->sendRequest(0, path, id, "key", true, {},
                                             std::string(bodySize, 'u'));
    }

    /// Waits until a service is used again: one that fails several times is not, for a while.
    bool waitUntilServed()
    {
        return waitUntil(kStartTimeout, [this] {
            const std::string id = "ready-" + std::to_string(++this->probeCount);
            return this->request(kActionPath, id, soundAnswer(id)).status == 200;
        });
    }

    int requestCount() const
    {
        int count = 0;
        for (const auto &server : this->servers)
            count += server->requestCount();
        return count;
    }

    /// Value of a metric of the gateway; 0 without it.
    std::uint64_t metric(const std::string &name)
    {
        std::promise<std::string> text;
        asio::post(this->gateways[0]->context(),
                   [&] { text.set_value(this->gateways[0]->metricsText()); });
        const std::string metrics = text.get_future().get();
        const std::string prefix = "egret_" + name + " ";
        const auto at = metrics.find(prefix);
        return at == std::string::npos ? 0 : std::stoull(metrics.substr(at + prefix.size()));
    }

    std::vector<std::unique_ptr<FaultyServer>> servers;
};

} // namespace

// Guards against a broken answer that a client gets as an answer, and against an action that is
// sent again although it may have run.
TEST_F(BrokenAnswers, NeverReachAClient)
{
    struct Case
    {
        std::string reason;
        std::string begin; ///< head up to the fields by which the gateway recognises the answer
        std::string rest;
        AnswerEnd end{ AnswerEnd::orderly };
        std::size_t bodySize{ 10 };
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<Case> cases = {
        { "Connection reset by peer", ok, "\r\na part", AnswerEnd::reset, kLongUpload },
        { "invalid-status", "HTTP/1.1 000 OK\r\n", "\r\nok" },
        { "invalid-status", "HTTP/1.1 600 OK\r\n", std::string(kSizedRest) },
        { "unexpected-upgrade", "HTTP/1.1 101 Switching Protocols\r\n", "\r\n" },
        { "malformed-field-name", ok, "Na me: v\r\n" + std::string(kSizedRest) },
        { "malformed-field-name", ok, "Name\x01: v\r\n" + std::string(kSizedRest) },
        { "malformed-field-name", ok, "Content-Length : 1\r\n" + std::string(kSizedRest) },
        { "malformed-field-value", ok, "Name: \x1b[0m\r\n" + std::string(kSizedRest) },
        { "contradictory-framing", ok, "Transfer-Encoding: gzip\r\n\r\nok" },
        { "malformed-chunk", ok, "Transfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n" },
        { "truncated", ok, "Content-Length: 3\r\n\r\nok" },
    };
    int number = 0;
    for (const Case &each : cases) {
        for (const std::string path : { kActionPath, kReadPath }) {
            const std::string id = "broken-" + std::to_string(++number);
            ASSERT_TRUE(this->waitUntilServed());
            const std::string metricName = "broken_answers_total{reason=\"" + each.reason + "\"}";
            const std::uint64_t brokenBefore = this->metric(metricName);
            const int requestsBefore = this->requestCount();
            const auto response =
                    this->request(path, id,
                                  { .bytes = each.begin + answerFields(id) + each.rest,
                                    .pause = 50ms,
                                    .end = each.end },
                                  each.bodySize);
            const int attempts = this->requestCount() - requestsBefore;
            EXPECT_EQ(response.status, 502) << each.reason << path;
            EXPECT_TRUE(response.isComplete);
            EXPECT_EQ(response.body, "");
            EXPECT_EQ(this->metric(metricName) - brokenBefore, attempts) << each.reason << path;
            EXPECT_GE(attempts, 1);
            EXPECT_LE(attempts, path == kActionPath ? 1 : 2) << each.reason;
        }
    }
}

// Guards against losing answers that are unusual but whole.
TEST_F(BrokenAnswers, SoundAnswersReachTheClient)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    const std::string early = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    const std::vector<std::pair<int, std::array<std::string, 2>>> answers = {
        { 200, { "HTTP/1.1 200 OK\r\n", "\r\nok" } },
        { 200, { early + "HTTP/1.1 200 OK\r\n", chunked } },
        { 413, { "HTTP/1.1 413 Too Large\r\n", std::string(kSizedRest) } },
        { 413, { "HTTP/1.1 413 Too Large\r\nConnection: close\r\n", "\r\nok" } },
    };
    int number = 0;
    for (const auto &[status, parts] : answers) {
        for (const AnswerEnd end : { AnswerEnd::orderly, AnswerEnd::orderlyUnread }) {
            for (const bool readsRequest : { false, true }) {
                const std::string id = "sound-" + std::to_string(++number);
                const auto response =
                        this->request(kActionPath, id,
                                      { .bytes = parts[0] + answerFields(id) + parts[1],
                                        .end = end,
                                        .readsRequest = readsRequest },
                                      kLongUpload);
                EXPECT_EQ(response.status, status) << parts[0] << parts[1] << readsRequest;
                EXPECT_TRUE(response.isComplete);
                EXPECT_EQ(response.body, "ok");
            }
        }
    }
}

// Guards against an early refusal that is lost, or told as a request that may have run.
TEST_F(BrokenAnswers, AnEarlyRefusalIsTold)
{
    std::string fields;
    for (const auto &[name, value] : platform::standinRefusalHeaders("refused"))
        fields += name + ": " + value + "\r\n";
    const auto response =
            this->request(kActionPath, "refused",
                          { .bytes = "HTTP/1.1 503 Full\r\n" + fields + "Content-Length: 0\r\n\r\n",
                            .end = AnswerEnd::orderlyUnread },
                          kLongUpload);
    EXPECT_EQ(response.status, 503);
    EXPECT_FALSE(headerValue(response.headers, "Retry-After").empty());
}
