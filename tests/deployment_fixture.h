#pragma once

#include "standin/deployment.h"

#include "gateway.h"
#include "http_frontend.h"
#include "loopback.h"
#include "names.h"
#include "registry_api.h"
#include "registry_node.h"
#include "stager.h"
#include "standin_protocol.h"
#include "wire_protocol.h"

#include <asio/post.hpp>
#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <future>
#include <thread>

namespace egret {

inline constexpr Seconds kStartTimeout{ 15 };
inline constexpr std::uint32_t kZoneCount = 3;

/// A registry instance behind an HTTP frontend with the platform's registry API.
struct TestRegistry
{
    explicit TestRegistry(const NodeSettings &settings)
        : node(settings), api(node),
          frontend(std::make_unique<HttpFrontend>(
                  node.context(),
                  HttpFrontendOptions{ .listen = *Endpoint::parse(settings.operatorAddress),
                                       .bounds = { .maxBodyBytes = 1U << 20U } },
                  [this](HttpRequest &&request, const AbortableReplyPtr &reply) {
                      this->api.handle(request, reply);
                  }))
    {
        std::string problem;
        this->isStarted = this->node.start(problem);
        std::promise<void> done;
        asio::post(this->node.context(), [&] {
            Reason<std::error_code> reason;
            this->isStarted = this->frontend->start(reason) && this->isStarted;
            done.set_value();
        });
        done.get_future().wait();
    }
    ~TestRegistry()
    {
        std::promise<void> done;
        asio::post(this->node.context(), [&] {
            this->frontend.reset();
            done.set_value();
        });
        done.get_future().wait();
        this->node.stop();
    }
    TestRegistry(const TestRegistry &) = delete;
    TestRegistry &operator=(const TestRegistry &) = delete;

    RegistryNode node;
    platform::RegistryApi api;
    std::unique_ptr<HttpFrontend> frontend;
    bool isStarted{ false };
};

/// Runs registries, gateways, stagers and the stand-in deployment in one process.
class DeploymentTest : public testing::Test
{
protected:
    /// Starts everything. Addresses and ports in `options` are replaced by free ones.
    void startAll(DeploymentOptions options, std::uint32_t gatewayCount)
    {
        std::string name = testing::TempDir() + "calm-day-XXXXXX";
        this->folder = mkdtemp(name.data());
        const auto port = [] { return freeLoopback("127.0.0.1").port; };
        // Test processes that run at the same time use different addresses.
        constexpr int firstPrefix = 32;
        constexpr int prefixCount = 200;
        options.addressPrefix = "127." + std::to_string(firstPrefix + ::getpid() % prefixCount);
        options.linkPort = port();
        options.operatorPort = port();
        options.clientPort = port();
        options.upstreamPort = port();
        options.zoneCount = kZoneCount;
        this->deployment = std::make_unique<Deployment>(options);
        ASSERT_TRUE(this->deployment->start());
        for (std::uint32_t i = 0; i < kZoneCount; ++i) {
            this->registries.push_back(std::make_unique<TestRegistry>(
                    this->deployment->registrySettings(i, this->folder + "/" + std::to_string(i))));
            ASSERT_TRUE(this->registries.back()->isStarted);
        }
        std::string problem;
        for (std::uint32_t i = 0; i < gatewayCount; ++i) {
            this->gateways.push_back(std::make_unique<Gateway>(this->deployment->gatewaySettings(i),
                                                               platform::gatewayProtocol()));
            ASSERT_TRUE(this->gateways.back()->start(problem)) << problem;
        }
        for (std::uint32_t i = 0; i < this->deployment->engineCount(); ++i) {
            this->stagers.push_back(std::make_unique<Stager>(this->deployment->stagerSettings(i),
                                                             platform::stagerProtocol()));
            ASSERT_TRUE(this->stagers.back()->start(problem)) << problem;
        }
    }

    void TearDown() override
    {
        for (const auto &stager : this->stagers)
            stager->stop();
        for (const auto &gateway : this->gateways)
            gateway->stop();
        this->registries.clear();
        this->deployment.reset();
        std::filesystem::remove_all(this->folder);
    }

    /// Polls `condition` until it is true; returns false after the timeout.
    static bool waitUntil(Seconds timeout, const std::function<bool()> &condition)
    {
        const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
        while (std::chrono::steady_clock::now() < deadline) {
            if (condition())
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return condition();
    }

    /// Submits document `number`, whose customer has the API key `key`, repeatedly until
    /// the registry accepts the document; returns false after kStartTimeout.
    bool putDocument(std::uint32_t registry, std::uint64_t number, const std::string &key)
    {
        return waitUntil(kStartTimeout, [&] {
            return this->deployment
                           ->callRegistry(registry, "POST", platform::kReplaceConfigPath,
                                          platform::configText(this->deployment->plan(number, key)))
                           .status
                   == 200;
        });
    }

    /// Waits until every engine serves weights version `version`; returns false after `timeout`.
    bool waitForVersion(std::uint64_t version, Seconds timeout = kStartTimeout)
    {
        return waitUntil(timeout, [&] {
            for (std::uint32_t i = 0; i < this->deployment->engineCount(); ++i) {
                if (this->deployment->engineStats(i).loadedVersion != version)
                    return false;
            }
            return true;
        });
    }

    /// Waits until every gateway serves a stream; returns false after kStartTimeout.
    bool waitUntilReady()
    {
        return waitUntil(kStartTimeout, [&] {
            for (std::uint32_t i = 0; i < this->gateways.size(); ++i) {
                const auto answer = this->deployment->sendRequest(
                        i, kStreamPath, "probe-" + std::to_string(++this->probeCount), "key");
                if (answer.status != 200)
                    return false;
            }
            return true;
        });
    }

    /// Sends requests to every gateway for `duration` from one client per gateway, which pauses
    /// for 100 ms between two requests, and goes on until it has sent `leastPerGateway`. Returns
    /// the numbers of answers by status.
    std::map<int, int> sendRequests(const std::string &path, Milliseconds duration,
                                    int leastPerGateway = 0)
    {
        const TimePoint end = std::chrono::steady_clock::now() + duration;
        std::vector<std::future<std::map<int, int>>> clients;
        for (std::uint32_t gateway = 0; gateway < this->gateways.size(); ++gateway) {
            clients.push_back(std::async(std::launch::async, [=, this] {
                std::map<int, int> answers;
                for (int i = 0; i < leastPerGateway || std::chrono::steady_clock::now() < end;
                     ++i) {
                    const std::string id = std::to_string(gateway) + "-" + std::to_string(i);
                    const auto answer = this->deployment->sendRequest(gateway, path, id, "key");
                    ++answers[answer.isComplete ? answer.status : 0];
                    std::this_thread::sleep_for(100ms);
                }
                return answers;
            }));
        }
        std::map<int, int> answers;
        for (auto &client : clients) {
            for (const auto &[status, count] : client.get())
                answers[status] += count;
        }
        return answers;
    }

    /// Replaces each registry, with its data, and each gateway by a new process of its own.
    void restartRegistriesAndGateways()
    {
        for (std::uint32_t i = 0; i < this->registries.size(); ++i) {
            this->registries[i].reset();
            auto settings =
                    this->deployment->registrySettings(i, this->folder + "/" + std::to_string(i));
            settings.isFirstStart = false;
            this->registries[i] = std::make_unique<TestRegistry>(settings);
        }
        std::string problem;
        for (std::uint32_t i = 0; i < this->gateways.size(); ++i) {
            this->gateways[i]->stop();
            this->gateways[i] = std::make_unique<Gateway>(this->deployment->gatewaySettings(i),
                                                          platform::gatewayProtocol());
            ASSERT_TRUE(this->gateways[i]->start(problem)) << problem;
        }
    }

    std::string folder;
    std::unique_ptr<Deployment> deployment;
    std::vector<std::unique_ptr<TestRegistry>> registries;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<std::unique_ptr<Stager>> stagers;
    int probeCount{ 0 };
};

} // namespace egret
