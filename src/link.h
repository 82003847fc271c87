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

/// Traffic classes with separate connections, so that one class does not delay another.
enum class Channel : std::uint8_t { control, serve, bulk };

class Link;
using LinkPtr = std::shared_ptr<Link>;

/// Callbacks of a hub, called on worker threads and in order for each link.
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
    Milliseconds idleLimit{ 0 }; ///< time without messages after which an opened link is closed,
                                 ///< 0 for never
};

/// One authenticated connection that carries frames in both directions. A link
/// whose peer is silent past the timeout is closed and reported down. Thread safe.
class Link
{
public:
    virtual ~Link() = default;

    /// Queues a message; false when the link is down or its queue is full.
    virtual bool send(const Message &message) = 0;

    /// Closes the link, which is reported down exactly once.
    virtual void close(const std::string &why) = 0;

    /// False until the handshake has ended; no message can have been sent before.
    virtual bool established() const = 0;

    /// The peer's Hello; empty fields before the Hello was received.
    virtual Hello peer() const = 0;

    /// Endpoint to which the link was opened; empty for an accepted link.
    virtual const std::string &target() const = 0;

    /// Bytes queued and not yet written.
    virtual std::size_t queuedBytes() const = 0;

    /// Round-trip time of the last heartbeat, or the age of the oldest unanswered
    /// heartbeat when that age is longer; zero before the first heartbeat.
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

    /// Starts accepting; false with a reason when the address can't be bound.
    bool listen(Reason<std::error_code> &reason);

    /// Returns the link to an endpoint on a channel, opening a link when none exists.
    /// Messages sent before the handshake has ended are queued.
    LinkPtr open(const Endpoint &to, Channel channel);

    /// Sends on the link to `to`; false when the endpoint is malformed or the queue is full.
    bool send(const std::string &to, Channel channel, const Message &message);

    /// Accepted links whose peers sent a Hello with this role.
    std::vector<LinkPtr> peers(Role role) const;

    /// Number of dropped frames, by reason.
    std::map<std::string, std::uint64_t> droppedFrames() const;

    /// Closes every link and stops accepting.
    void shutdown();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
