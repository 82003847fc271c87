// Clients outside of the limits must not end a process, hang it, or take its memory or its
// descriptors. Each test starts one program of the system as a process of its own, with a small
// machine in its settings, and checks only what does not depend on speed.
#include "deployment_fixture.h"
#include "program_process.h"

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <iostream>

using namespace egret;

namespace {

/// How the clients of a crowd misuse the limits.
enum class CrowdForm : std::uint8_t {
    oneLargeChunk,   ///< a chunked body in one chunk, all but the last byte
    oneByteChunks,   ///< a chunked body in chunks of one byte, without the last chunk
    allButLastByte,  ///< a body with a length, all but the last byte
    wholeBodies,     ///< whole bodies of the largest legal size
    smallPieces,     ///< chunks of 4 KB; every second client omits the last chunk
    farOverTheLimit, ///< a body announced as 64 times the limit, twice the limit is sent
    neverRead,       ///< 200 whole requests without a body; no answer is read
};

struct Crowd
{
    CrowdForm form{ CrowdForm::oneLargeChunk };
    std::string name;
    std::size_t clientCount{ 0 };
    std::size_t bodyBytes{ 0 }; ///< the largest legal body, or less when it suffices
    std::string requestLine;
    HttpHeaders headers;
};

constexpr std::size_t kPieceBytes = 4096;
constexpr std::size_t kUnreadRequests = 200;
/// Longest time for which a crowd writes; a server may leave its bytes unread.
constexpr Seconds kCrowdTime{ 10 };

/// One client: writes its request in parts and never reads.
class CrowdClient : public std::enable_shared_from_this<CrowdClient>
{
public:
    CrowdClient(asio::io_context &context, const Crowd &crowd, std::size_t number,
                std::size_t &busyCount)
        : socket(context), crowd(crowd), number(number), busyCount(busyCount)
    {}

    void start(const Endpoint &server)
    {
        ++this->busyCount;
        this->socket.async_connect({ asio::ip::make_address(server.address), server.port },
                                   [self = this->shared_from_this()](const std::error_code &error) {
                                       if (error)
                                           return self->onDone();
                                       self->part = self->head();
                                       self->writePart();
                                   });
    }

private:
    std::string head() const
    {
        const auto fields = [this](const std::string &extra) {
            std::string text = this->crowd.requestLine + " HTTP/1.1\r\n";
            for (const auto &[name, value] : this->crowd.headers)
                text += name + ": " + value + "\r\n";
            return text + extra + "\r\n";
        };
        const std::size_t size = this->crowd.bodyBytes;
        switch (this->crowd.form) {
        case CrowdForm::oneLargeChunk: {
            std::array<char, 20> chunkHead{};
            std::snprintf(chunkHead.data(), chunkHead.size(), "%zx\r\n", size);
            return fields("Transfer-Encoding: chunked\r\n") + chunkHead.data();
        }
        case CrowdForm::oneByteChunks:
        case CrowdForm::smallPieces:
            return fields("Transfer-Encoding: chunked\r\n");
        case CrowdForm::allButLastByte:
        case CrowdForm::wholeBodies:
            return fields("Content-Length: " + std::to_string(size) + "\r\n");
        case CrowdForm::farOverTheLimit:
            return fields("Content-Length: " + std::to_string(64 * size) + "\r\n");
        case CrowdForm::neverRead: {
            std::string text;
            for (std::size_t i = 0; i < kUnreadRequests; ++i)
                text += fields("Content-Length: 0\r\n");
            return text;
        }
        }
        return {};
    }

    /// Sets `part` to the next bytes of the body. Returns false at the end.
    bool nextPart()
    {
        const std::size_t size = this->crowd.bodyBytes;
        const CrowdForm form = this->crowd.form;
        std::size_t total = size;
        if (form == CrowdForm::oneLargeChunk || form == CrowdForm::allButLastByte)
            total = size - 1;
        else if (form == CrowdForm::farOverTheLimit)
            total = 2 * size;
        else if (form == CrowdForm::neverRead)
            total = 0;
        if (this->sentBytes >= total) {
            const bool hasEnd = form == CrowdForm::smallPieces && this->number % 2 == 0;
            this->part = hasEnd && !this->isEndSent ? "0\r\n\r\n" : "";
            this->isEndSent = true;
            return !this->part.empty();
        }
        const std::size_t count = std::min(kPieceBytes, total - this->sentBytes);
        this->sentBytes += count;
        this->part.clear();
        if (form == CrowdForm::oneByteChunks) {
            for (std::size_t i = 0; i < count; ++i)
                this->part += "1\r\nx\r\n";
        } else if (form == CrowdForm::smallPieces) {
            std::array<char, 20> chunkHead{};
            std::snprintf(chunkHead.data(), chunkHead.size(), "%zx\r\n", count);
            this->part = chunkHead.data() + std::string(count, 'x') + "\r\n";
        } else {
            this->part.assign(count, 'x');
        }
        return true;
    }

    void writePart()
    {
        asio::async_write(
                this->socket, asio::buffer(this->part),
                [self = this->shared_from_this()](const std::error_code &error, std::size_t) {
                    if (error || !self->nextPart())
                        return self->onDone();
                    self->writePart();
                });
    }

    /// The connection stays open.
    void onDone() { --this->busyCount; }

    asio::ip::tcp::socket socket;
    const Crowd &crowd;
    std::size_t number;
    std::size_t &busyCount;
    std::size_t sentBytes{ 0 };
    bool isEndSent{ false };
    std::string part;
};

class ClientCrowd : public DeploymentTest, public testing::WithParamInterface<CrowdForm>
{
protected:
    /// Lets the crowd write to `server` and checks the process meanwhile. Afterwards, while the
    /// crowd is still connected, `isAnswered` must become true.
    static void endure(ProgramProcess &process, const ProcessBounds &bounds, const Crowd &crowd,
                       const Endpoint &server, const std::function<bool()> &isAnswered)
    {
        asio::io_context context;
        std::size_t busyCount = 0;
        std::size_t peakDescriptors = process.descriptorCount();
        const std::size_t restKb = process.peakMemoryKb();
        std::vector<std::shared_ptr<CrowdClient>> clients;
        for (std::size_t i = 0; i < crowd.clientCount; ++i) {
            clients.push_back(std::make_shared<CrowdClient>(context, crowd, i, busyCount));
            clients.back()->start(server);
        }
        const TimePoint end = std::chrono::steady_clock::now() + kCrowdTime;
        while (busyCount > 0 && std::chrono::steady_clock::now() < end) {
            context.run_for(50ms);
            peakDescriptors = std::max(peakDescriptors, process.descriptorCount());
        }
        // Clients that have not been able to write go on while the ordinary request is sent.
        std::atomic<bool> isStopped{ false };
        std::thread writer([&] {
            while (!isStopped)
                context.run_for(50ms);
        });
        const bool wasAnswered = waitUntil(kStartTimeout, isAnswered);
        peakDescriptors = std::max(peakDescriptors, process.descriptorCount());
        const std::size_t peakKb = process.peakMemoryKb();
        const bool isAlive = process.isAlive();
        isStopped = true;
        writer.join();
        std::cout << "measured: memory at rest " << restKb << " kB, peak " << peakKb << " kB of "
                  << bounds.memoryMb * kKbPerMb << ", descriptors " << peakDescriptors << " of "
                  << bounds.descriptors << ", alive " << isAlive << ", answered " << wasAnswered
                  << "\n";
        EXPECT_TRUE(isAlive);
        EXPECT_LT(peakKb, bounds.memoryMb * kKbPerMb);
        EXPECT_LT(peakDescriptors, bounds.descriptors);
        EXPECT_TRUE(wasAnswered);
    }
};

std::string formName(const testing::TestParamInfo<CrowdForm> &info)
{
    switch (info.param) {
    case CrowdForm::oneLargeChunk:
        return "OneLargeChunk";
    case CrowdForm::oneByteChunks:
        return "ChunksOfOneByte";
    case CrowdForm::allButLastByte:
        return "AllButTheLastByte";
    case CrowdForm::wholeBodies:
        return "WholeLegalBodies";
    case CrowdForm::smallPieces:
        return "SmallPieces";
    case CrowdForm::farOverTheLimit:
        return "FarOverTheLimit";
    case CrowdForm::neverRead:
        return "AnswersNeverRead";
    }
    return "";
}

/// Status of a GET request on a new connection; 0 when no answer arrives.
int statusOf(const Endpoint &server, const std::string &path)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    std::array<char, 12> start{}; // "HTTP/1.1 200"
    int status = 0;
    socket.async_connect({ asio::ip::make_address(server.address), server.port },
                         [&](const std::error_code &connectError) {
                             if (connectError)
                                 return;
                             asio::async_write(socket, asio::buffer(request),
                                               [](const std::error_code &, std::size_t) {});
                             asio::async_read(socket, asio::buffer(start),
                                              [&](const std::error_code &readError, std::size_t) {
                                                  if (!readError)
                                                      status = std::stoi(
                                                              std::string(start.data() + 9, 3));
                                              });
                         });
    context.run_for(3s);
    return status;
}

} // namespace

class GatewayCrowd : public ClientCrowd
{
};

TEST_P(GatewayCrowd, LeavesTheGatewayServing)
{
    constexpr ProcessBounds bounds{ .memoryMb = 48, .descriptors = 256 };
    constexpr std::size_t maxBodyBytes = 256U << 10U;
    // Upstreams hold each request for a while, so that many bodies run at the same time.
    this->startAll({ .prefillTime = 300ms }, 0);
    NodeSettings settings = this->deployment->gatewaySettings(0);
    settings.readinessAddress = freeLoopback(settings.address).text();
    limit(settings, bounds);
    ProgramProcess process("egret-gateway", settings, this->folder);
    ServingPlan plan = this->deployment->plan(4, "key");
    plan.bounds.maxBodyBytes = maxBodyBytes;
    ASSERT_TRUE(waitUntil(kStartTimeout, [&] {
        return this->deployment
                       ->callRegistry(0, "POST", platform::kReplaceConfigPath,
                                      platform::configText(plan))
                       .status
               == 200;
    }));
    const auto isAnswered = [this] {
        return this->deployment
                       ->sendRequest(0, kReadPath, "probe-" + std::to_string(++this->probeCount),
                                     "key")
                       .status
               == 200;
    };
    ASSERT_TRUE(waitUntil(kStartTimeout, isAnswered));
    const Crowd crowd{ .form = GetParam(),
                       .clientCount = 240,
                       .bodyBytes = maxBodyBytes,
                       .requestLine = std::string("POST ") + kReadPath,
                       .headers = platform::standinClientHeaders("standin.example", "crowd", "key",
                                                                 8s, 100, {}) };
    endure(process, bounds, crowd, *Endpoint::parse(settings.clientAddress), isAnswered);
}

INSTANTIATE_TEST_SUITE_P(ClientCrowd, GatewayCrowd,
                         testing::Values(CrowdForm::oneLargeChunk, CrowdForm::oneByteChunks,
                                         CrowdForm::allButLastByte, CrowdForm::wholeBodies,
                                         CrowdForm::smallPieces, CrowdForm::farOverTheLimit,
                                         CrowdForm::neverRead),
                         formName);

class RegistryCrowd : public ClientCrowd
{
};

TEST_P(RegistryCrowd, LeavesTheOperatorPortServing)
{
    constexpr ProcessBounds bounds{ .memoryMb = 64, .descriptors = 256 };
    this->startAll({}, 0);
    ASSERT_TRUE(this->putDocument(1, 4, "key"));
    this->registries[0].reset();
    NodeSettings settings = this->deployment->registrySettings(0, this->folder + "/0");
    settings.isFirstStart = false;
    limit(settings, bounds);
    ProgramProcess process("egret-registry", settings, this->folder);
    const auto isAnswered = [this] {
        return this->deployment->callRegistry(0, "GET", platform::kReadConfigPath).status == 200;
    };
    ASSERT_TRUE(waitUntil(kStartTimeout, isAnswered));
    const Crowd crowd{ .form = GetParam(),
                       .clientCount = 60,
                       .bodyBytes = 3U << 20U,
                       .requestLine = std::string("POST ") + platform::kReplaceConfigPath,
                       .headers = { { "Host", "r" } } };
    endure(process, bounds, crowd, *Endpoint::parse(settings.operatorAddress), isAnswered);
}

INSTANTIATE_TEST_SUITE_P(ClientCrowd, RegistryCrowd,
                         testing::Values(CrowdForm::oneLargeChunk, CrowdForm::allButLastByte,
                                         CrowdForm::smallPieces, CrowdForm::farOverTheLimit),
                         formName);

class StagerCrowd : public ClientCrowd
{
};

TEST_P(StagerCrowd, LeavesTheMetricsPortServing)
{
    constexpr ProcessBounds bounds{ .memoryMb = 48, .descriptors = 160 };
    this->startAll({}, 0);
    this->stagers[0]->stop();
    this->stagers.erase(this->stagers.begin());
    NodeSettings settings = this->deployment->stagerSettings(0);
    limit(settings, bounds);
    ProgramProcess process("egret-stager", settings, this->folder);
    const Endpoint metrics{ .address = settings.address,
                            .port = static_cast<std::uint16_t>(settings.linkPorts.front() + 1) };
    const auto isAnswered = [&] { return statusOf(metrics, "/metrics") == 200; };
    ASSERT_TRUE(waitUntil(kStartTimeout, isAnswered));
    const Crowd crowd{ .form = GetParam(),
                       .clientCount = 150,
                       .bodyBytes = 1U << 20U,
                       .requestLine = "POST /metrics",
                       .headers = { { "Host", "s" } } };
    endure(process, bounds, crowd, metrics, isAnswered);
}

INSTANTIATE_TEST_SUITE_P(ClientCrowd, StagerCrowd,
                         testing::Values(CrowdForm::oneLargeChunk, CrowdForm::allButLastByte),
                         formName);
