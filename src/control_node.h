#pragma once

#include "control_state.h"
#include "guarded.h"
#include "quorum.h"

#include <functional>
#include <memory>
#include <string>

namespace egret {

struct ControlNodeOptions
{
    std::string dataFolder;
    std::string endpoint;              ///< own link address
    std::vector<std::string> controls; ///< link addresses that form the quorum at first
    bool mayBootstrap{ true };         ///< false: an empty folder waits to be added
    std::size_t targetVoters{ 0 };     ///< voters up to which instances are added by themselves
};

/// What a control node asks of its process; called on the node's own thread.
struct ControlNodeHandlers
{
    /// After a command or a snapshot has changed the state.
    std::function<void()> applied;
    /// Sends to the control instance at an address; may lose the message.
    std::function<void(const std::string &, const QuorumMessage &)> send;
};

/// Hosts one member of the control quorum: the log on disk, the replicated
/// state in memory and the thread that runs both. Thread safe.
class ControlNode
{
public:
    /// Called once, on any thread.
    using Done = std::function<void(const ControlResult &)>;

    ControlNode(ControlNodeOptions options, ControlNodeHandlers handlers);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Reads the log and starts the thread; false with a reason when the data
    /// folder can't be used. Call once.
    bool start(Reason<int> &reason);

    /// Ends the thread; nothing is answered any more. Called by the destructor.
    void stop();

    /// Runs a command or a query; `done` is called once it is durable and
    /// applied, once it is answered from current state, or when it is refused.
    /// The reason "not-leader" comes with the leader's address where known;
    /// a command refused so may still take effect, and is to be sent again
    /// under the same request id.
    void propose(const ControlCommand &command, Done done);

    /// Takes a message of another member.
    void receive(const QuorumMessage &message);

    /// Term in which this instance leads; empty while it does not.
    std::optional<std::uint64_t> leadingTerm();

    /// Answers a query from the applied state, which may lag behind the quorum.
    ControlResult read(const ReadDocument &query);

    /// Operators of the applied state.
    StoredRevision operators();

    /// Numbered texts and zones taken out, of the applied state.
    OperatorState operatorState();

    /// Link addresses of the quorum's members as this one knows them.
    std::vector<std::string> memberEndpoints();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
