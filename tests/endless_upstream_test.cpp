// Upstreams that send without end must not take a gateway's memory. Each test starts the gateway as
// a process of its own, with a small machine in its settings.
#include "deployment_fixture.h"
#include "endless_server.h"
#include "program_process.h"

#include <iostream>

using namespace egret;

namespace {

struct EndlessCase
{
    std::string name; ///< of the test
    EndlessAnswer answer;
};

/// Short fields, which take far more memory than they have on the wire, up to nearly the limit on
/// a head.
std::string manyFields()
{
    constexpr std::size_t count = 16000;
    std::string fields;
    for (std::size_t i = 0; i < count; ++i)
        fields += "a:\r\n";
    return fields;
}

std::vector<EndlessCase> endlessCases()
{
    const std::string failure = "HTTP/1.1 500 Error\r\n";
    const std::string filler(16U << 10U, 'x');
    const std::string late = "HTTP/1.1 200 OK\r\nAttempt: x\r\nContent-Length: 8000\r\n\r\n"
                             + std::string(8000, 'x');
    return {
        { "StatusLine", { "HTTP/1.1 500 ", filler } },
        { "FieldName", { failure, filler } },
        { "FieldValue", { failure + "X: ", filler } },
        { "Fields", { failure, "a:\r\nb:\r\n" } },
        { "HeadThatStops", { failure, manyFields(), 1 } },
        { "InterimHeads", { "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" } },
        { "Body", { failure + "\r\n", filler } },
        { "BodyAfterManyFields", { failure + manyFields() + "\r\n", "x", 1 } },
        { "Chunks", { failure + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n" } },
        { "ChunkExtension", { failure + "Transfer-Encoding: chunked\r\n\r\n4;", filler } },
        { "Trailer", { failure + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", filler } },
        { "AnswersToOtherRequests", { "", late } },
    };
}

std::vector<EndlessCase> casesNamed(const std::set<std::string> &names)
{
    std::vector<EndlessCase> cases = endlessCases();
    std::erase_if(cases, [&names](const EndlessCase &each) { return !names.contains(each.name); });
    return cases;
}

class EndlessUpstream : public DeploymentTest, public testing::WithParamInterface<EndlessCase>
{
protected:
    static constexpr ProcessBounds kBounds{ .memoryMb = 48, .descriptors = 1024 };
    static constexpr std::size_t kClients = 240;
    /// Time for which the upstreams send before the gateway is checked.
    static constexpr Milliseconds kSendTime{ 1500 };

    /// Sends one request on a connection of its own, and doesn't read.
    std::shared_ptr<asio::ip::tcp::socket> sendUnread(const Endpoint &gateway, std::size_t number)
    {
        auto socket = std::make_shared<asio::ip::tcp::socket>(this->context);
        std::error_code error;
        socket->connect({ asio::ip::make_address(gateway.address), gateway.port }, error);
        std::string head = std::string("GET ") + kReadPath + " HTTP/1.1\r\n";
        for (const auto &[name, value] : platform::standinClientHeaders(
                     "standin.example", "crowd-" + std::to_string(number), "key", 5s, 100, {}))
            head += name + ": " + value + "\r\n";
        asio::write(*socket, asio::buffer(head + "\r\n"), error);
        return socket;
    }

    asio::io_context context;
};

} // namespace

TEST_P(EndlessUpstream, LeavesTheGatewayServing)
{
    std::vector<std::unique_ptr<EndlessServer>> servers;
    DeploymentOptions options;
    for (std::uint32_t i = 0; i < kZoneCount; ++i) {
        servers.push_back(std::make_unique<EndlessServer>(this->GetParam().answer));
        options.serviceEndpoints.push_back(servers.back()->endpoint());
    }
    this->startAll(options, 0);
    NodeSettings settings = this->deployment->gatewaySettings(0);
    settings.readinessAddress = freeLoopback(settings.address).text();
    limit(settings, kBounds);
    ProgramProcess process("egret-gateway", settings, this->folder);
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    ASSERT_TRUE(this->waitForVersion(1));
    const auto isServed = [this] {
        const std::string id = "probe-" + std::to_string(++this->probeCount);
        return this->deployment->sendRequest(0, kStreamPath, id, "key").status == 200;
    };
    ASSERT_TRUE(waitUntil(kStartTimeout, isServed));
    const std::size_t restKb = process.peakMemoryKb();
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> clients;
    for (std::size_t i = 0; i < kClients; ++i)
        clients.push_back(this->sendUnread(*Endpoint::parse(settings.clientAddress), i));
    std::this_thread::sleep_for(kSendTime);
    const bool wasServed = waitUntil(kStartTimeout, isServed);
    std::size_t requests = 0;
    for (const auto &server : servers)
        requests += server->requestCount();
    const std::size_t peakKb = process.peakMemoryKb();
    std::cout << "measured: " << requests << " requests, memory at rest " << restKb << " kB, peak "
              << peakKb << " kB of " << kBounds.memoryMb * kKbPerMb << "\n";
    EXPECT_GT(requests, 0U);
    EXPECT_TRUE(process.isAlive());
    EXPECT_LT(peakKb, kBounds.memoryMb * kKbPerMb);
    EXPECT_TRUE(wasServed);
}

INSTANTIATE_TEST_SUITE_P(Answers, EndlessUpstream, testing::ValuesIn(endlessCases()),
                         [](const auto &info) { return info.param.name; });

// A stager's calls to its engine are few, and each may receive 2 MB.
class EndlessEngine : public DeploymentTest, public testing::WithParamInterface<EndlessCase>
{
};

TEST_P(EndlessEngine, LeavesTheStagerRunning)
{
    constexpr ProcessBounds bounds{ .memoryMb = 48, .descriptors = 256 };
    const EndlessServer engine(this->GetParam().answer);
    this->startAll({}, 0);
    this->stagers[0]->stop();
    this->stagers.erase(this->stagers.begin());
    NodeSettings settings = this->deployment->stagerSettings(0);
    settings.engineAddress = engine.endpoint().text();
    limit(settings, bounds);
    ProgramProcess process("egret-stager", settings, this->folder);
    ASSERT_TRUE(this->putDocument(0, 4, "key"));
    ASSERT_TRUE(waitUntil(kStartTimeout, [&] { return engine.requestCount() >= 20; }));
    std::cout << "measured: peak " << process.peakMemoryKb() << " kB of "
              << bounds.memoryMb * kKbPerMb << "\n";
    EXPECT_TRUE(process.isAlive());
    EXPECT_LT(process.peakMemoryKb(), bounds.memoryMb * kKbPerMb);
}

INSTANTIATE_TEST_SUITE_P(Answers, EndlessEngine,
                         testing::ValuesIn(casesNamed({ "Fields", "Body" })),
                         [](const auto &info) { return info.param.name; });
