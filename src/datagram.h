#pragma once

#include "frame.h"
#include "trial_relays.h"
#include "worker_pool.h"

#include <functional>
#include <memory>

namespace egret {

struct DatagramOptions
{
    Endpoint listen;
    std::string cluster;
    std::string key;    ///< MAC key of the cluster, 32 raw bytes
    std::string sender; ///< name of this instance
    std::uint64_t incarnation{ 0 };
    TrialRelays trialRelays;
};

/// Size limit of a sent datagram; a larger message must be sent over a link.
inline constexpr std::size_t kMaxDatagramBytes = 60000;

/// UDP socket for authenticated datagrams. Drops frames that are damaged, replayed
/// or from another cluster, but counts their bytes as received. Thread safe.
class DatagramSocket
{
public:
    using Handler = std::function<void(const Endpoint &from, Frame &&)>;

    /// Precondition: the pool outlives the socket's last callback.
    DatagramSocket(WorkerPool &pool, DatagramOptions options, Handler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Binds the listen address and starts receiving; false with the error code in `reason` when
    /// the address can't be bound.
    bool start(Reason<std::error_code> &reason);

    /// Sends one message; false when the message is too large for a datagram or the
    /// endpoint is malformed.
    bool send(const std::string &to, const Message &message);

    /// Bytes sent so far, without UDP and IP headers.
    std::uint64_t sentBytes() const;

    /// Bytes received so far, including dropped frames.
    std::uint64_t receivedBytes() const;

    /// Closes the socket: datagrams are no longer received, and send() drops messages.
    void shutdown();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace egret
