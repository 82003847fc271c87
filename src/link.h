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

/// Traffic classes: `serve` carries requests to engines and services and relayed pieces of weights,
/// `bulk` carries weights that peers request from each other, and `control` the other messages.
/// Each class has its own connections: queued messages of one class do not delay another class.
enum class Channel : std::uint8_t { control, serve, bulk };

class Link;
using LinkPtr = std::shared_ptr<Link>;

/// Callbacks of a LinkHub. They run on worker threads; the calls for one link are in order and
/// never overlap.
struct LinkHandlers
{
    /// Called for every received frame except Hello, Ping and Pong.
    std::function<void(const LinkPtr &, Frame &&)> onFrame;
    /// Called once for every link, when the link has closed.
    std::function<void(const LinkPtr &)> onDown;
};

struct LinkHubOptions
{
    Endpoint listen; ///< port 0 for a hub that only connects
    std::string cluster;
    std::string key; ///< cluster key, 32 raw bytes; the session keys are derived from this key
    std::uint64_t incarnation{ 0 };
    Hello self; ///< sent as the first message on every link
    TrialRelays trialRelays;
    /// The side that opened a link closes the link when both sides have sent only heartbeats for
    /// this time; 0 for no limit.
    Milliseconds idleTimeout{ 0 };
};

/// One authenticated connection that carries frames in both directions. A link is
/// closed when no frame arrives from the peer within the silence timeout. Every
/// closed link is reported through LinkHandlers::onDown. Thread safe.
class Link
{
public:
    virtual ~Link() = default;

    /// Queues a message; false when the link is closed or its queue is full.
    virtual bool send(const Message &message) = 0;

    /// Closes the link; `why` goes to the log. The first call reports the link through `onDown`.
    virtual void close(const std::string &why) = 0;

    /// True once the handshake has ended. While false, no message has been written to the
    /// connection.
    virtual bool established() const = 0;

    /// The peer's Hello; its fields are empty until the Hello has been received.
    virtual Hello peer() const = 0;

    /// Endpoint to which this side opened the link; empty for an accepted link.
    virtual const std::string &target() const = 0;

    /// Bytes queued and not yet written.
    virtual std::size_t queuedBytes() const = 0;

    /// Round-trip time of the last heartbeat, or the age of the oldest unanswered
    /// heartbeat when that age is longer; zero before the first heartbeat.
    virtual Duration roundTrip() const = 0;
};

/// Accepts links and opens links to other instances. Thread safe.
class LinkHub
{
public:
    /// Precondition: the pool outlives the hub's last callback.
    LinkHub(WorkerPool &pool, LinkHubOptions options, LinkHandlers handlers);
    ~LinkHub();
    LinkHub(const LinkHub &) = delete;
    LinkHub &operator=(const LinkHub &) = delete;

    /// Binds the listen address and starts accepting; false with a reason when the address can't be
    /// bound.
    bool listen(Reason<std::error_code> &reason);

    /// Returns the link to an endpoint on a channel, opening a link when none exists.
    /// Messages sent before the handshake has ended are queued.
    LinkPtr open(const Endpoint &to, Channel channel);

    /// Sends on the link to `to`, opening a link when none exists; false when the endpoint is
    /// malformed, the link is closed or its queue is full.
    bool send(const std::string &to, Channel channel, const Message &message);

    /// Returns the accepted links to peers with the given role in their Hello.
    std::vector<LinkPtr> peers(Role role) const;

    /// Number of dropped frames, refused messages and refused connections, by reason.
    std::map<std::string, std::uint64_t> droppedFrames() const;

    /// Closes every link and stops accepting.
    void shutdown();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
