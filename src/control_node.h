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
    std::vector<std::string> controls; ///< link addresses of the initial members
    bool mayBootstrap{ true };     ///< false: an instance with an empty folder waits to be added
    std::size_t targetVoters{ 0 }; ///< the leader adds probing instances up to this number
};

/// Callbacks of a control node into its process, called on the node's thread.
struct ControlNodeHandlers
{
    /// Called after a command or a snapshot changed the state.
    std::function<void()> applied;
    /// Sends a message to the control instance at a link address; may lose the message.
    std::function<void(const std::string &, const QuorumMessage &)> send;
};

/// Hosts one member of the control quorum: the log on disk, the replicated
/// state in memory and the thread that runs both. Thread safe.
class ControlNode
{
public:
    /// Called at most once, on any thread.
    using Done = std::function<void(const ControlResult &)>;

    ControlNode(ControlNodeOptions options, ControlNodeHandlers handlers);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Reads the log and starts the thread; false with a reason when the data
    /// folder can't be used. Call once.
    bool start(Reason<int> &reason);

    /// Ends the thread; pending calls stay unanswered. Called by the destructor.
    void stop();

    /// Runs a command or a query. Calls `done` when the command is durable and
    /// applied, when the query is answered from current state, or on a refusal. A
    /// refusal "not-leader" contains the leader's address when known; the command
    /// may still take effect and must be resent with the same request id.
    void propose(const ControlCommand &command, Done done);

    /// Processes a message from another member.
    void receive(const QuorumMessage &message);

    /// Term in which this instance leads; empty while this instance does not lead.
    std::optional<std::uint64_t> leadingTerm();

    /// Answers a query from the applied state, which may lag behind the quorum.
    ControlResult read(const ReadDocument &query);

    /// Operators from the applied state.
    StoredRevision operators();

    /// Numbered texts and zones taken out of service, from the applied state.
    OperatorState operatorState();

    /// Link addresses of the quorum's members in this member's latest membership.
    std::vector<std::string> memberEndpoints();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
