#pragma once

#include "frame.h"
#include "trial_relays.h"
#include "worker_pool.h"

#include <asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace egret {

/// Separate connections for traffic that must not wait for each other.
enum class Channel : std::uint8_t { control, serve, bulk };

class Link;
using LinkPtr = std::shared_ptr<Link>;

/// What a hub reports; called on worker threads, in order for one link.
struct LinkHandlers
{
    std::function<void(const LinkPtr &, Frame &&)> onFrame;
    std::function<void(const LinkPtr &)> onDown;
};

struct LinkHubOptions
{
    Endpoint listen; ///< port 0 for a hub that only connects
    std::string cluster;
    std::string key; ///< 32 raw bytes
    std::uint64_t incarnation{ 0 };
    Hello self;
    TrialRelays trialRelays;
    Milliseconds idleLimit{ 0 }; ///< an opened link that carries nothing for so long is closed,
                                 ///< 0 for never
};

/// One authenticated connection that carries frames both ways. A link that is
/// silent past its deadline is closed and reported down. Thread safe.
class Link
{
public:
    virtual ~Link() = default;

    /// Queues a message; false when the link is down or its queue is full.
    virtual bool send(const Message &message) = 0;

    /// Closes the link; it is reported down once.
    virtual void close(const std::string &why) = 0;

    /// False while no message can have left: the handshake has not ended.
    virtual bool established() const = 0;

    /// What the peer said of itself; empty fields before its Hello came.
    virtual Hello peer() const = 0;

    /// Endpoint the link was opened to; empty for an accepted link.
    virtual const std::string &target() const = 0;

    /// Bytes queued and not yet written.
    virtual std::size_t queuedBytes() const = 0;

    /// Time that the last heartbeat took there and back, or the age of the one
    /// that is still unanswered where that is longer; zero before the first.
    virtual Duration roundTrip() const = 0;
};

/// Accepts and opens links. Thread safe.
class LinkHub
{
public:
    /// Precondition: the pool outlives the hub's last callback.
    LinkHub(WorkerPool &pool, LinkHubOptions options, LinkHandlers handlers);
    ~LinkHub();
    LinkHub(const LinkHub &) = delete;
    LinkHub &operator=(const LinkHub &) = delete;

    /// Starts to accept; false with a reason when the address can't be bound.
    bool listen(Reason<std::error_code> &reason);

    /// The link to an endpoint on a channel, opened when there is none.
    /// Messages sent before it is up are queued.
    LinkPtr open(const Endpoint &to, Channel channel);

    /// Sends on the link to `to`; false when the endpoint is malformed or the queue is full.
    bool send(const std::string &to, Channel channel, const Message &message);

    /// Accepted links whose peers have said that they have a role.
    std::vector<LinkPtr> peers(Role role) const;

    /// Number of frames dropped, by reason.
    std::map<std::string, std::uint64_t> droppedFrames() const;

    /// Closes every link and stops accepting.
    void shutdown();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
