#pragma once

#include "control_state.h"
#include "guarded.h"
#include "quorum.h"
#include "quorum_log.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace egret {

struct ControlNodeOptions
{
    std::string dataFolder;
    std::string endpoint;              ///< link address of this instance
    std::vector<std::string> controls; ///< link addresses of the initial members
    /// False: this instance never bootstraps a group. With an empty data folder, the instance
    /// waits until a leader adds it.
    bool mayBootstrap{ true };
    /// The leader adds instances until the group has this number of voters. 0: the leader adds
    /// an instance only on an operator's command.
    std::size_t targetVoters{ 0 };
    /// Time from the start of an instance until another one may be lost.
    Milliseconds catchUpTime{ 4s };
    WriteCall logWrite; ///< writes the log file; empty for write(2)
    SyncCall logSync;   ///< syncs the log file; empty for fdatasync(2)
};

/// How an instance takes part in the control quorum.
enum class QuorumRole { outside, learner, voter };

/// Returns the name of a role for log lines.
const char *nameOf(QuorumRole role);

/// What an instance knows of the control quorum.
struct QuorumStatus
{
    QuorumRole role{ QuorumRole::outside };
    std::string leader;        ///< link address of the leader; empty when unknown
    std::size_t voters{ 0 };   ///< number of voters in the latest membership known here
    std::size_t standbys{ 0 }; ///< number of learners in that membership

    bool operator==(const QuorumStatus &) const = default;
};

/// Callbacks of a control node. They are called on the thread of the node, and by
/// ControlNode::start on the thread of its caller.
struct ControlNodeHandlers
{
    /// Called after committed commands or a snapshot may have changed the state.
    std::function<void()> applied;
    /// Sends a message to the control instance at the given link address. Messages may be
    /// lost.
    std::function<void(const std::string &, const QuorumMessage &)> send;
};

/// Runs one member of the control quorum: the replicated state in memory, the thread that processes
/// messages and commands, and the member's log on disk with a thread of its own. Thread safe.
class ControlNode
{
public:
    /// Receives the result of a command. Called at most once, on any thread.
    using Done = std::function<void(const ControlResult &)>;

    ControlNode(ControlNodeOptions options, ControlNodeHandlers handlers);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Reads the log and starts the thread. Returns false and sets `reason` when the data
    /// folder can't be used. Call once.
    bool start(Reason<int> &reason);

    /// Announces to the quorum that this instance stops soon, and waits until a standby has taken
    /// its place in the membership, for at most `limit`. Returns at once when this instance is no
    /// voter or there is no standby. Precondition: the instance was started.
    void leave(Milliseconds limit);

    /// Ends the thread. Callbacks of pending commands are never called. The destructor calls
    /// this method.
    void stop();

    /// Runs a command or a query. Calls `done` with the result when the command is committed
    /// and applied, when the query is answered from the current state, or on a refusal. The
    /// refusal "not-leader" contains the leader's link address when known. After this refusal,
    /// the command may still take effect; a caller that resends the command must use the same
    /// request id.
    void propose(const ControlCommand &command, Done done);

    /// Processes a message from another member.
    void receive(const QuorumMessage &message);

    /// Term in which this instance leads; empty while this instance does not lead.
    std::optional<std::uint64_t> leadingTerm();

    /// Answers a query from the applied state, which may lag behind the quorum.
    ControlResult read(const ReadDocument &query);

    /// Returns the operators in the applied state.
    StoredRevision operators();

    /// Returns the numbered texts and the zones taken out of service in the applied state.
    OperatorState operatorState();

    /// Returns the link addresses of the quorum's members, and of other instances that members
    /// have named.
    std::set<std::string> knownEndpoints();

    /// Returns this instance's role, the leader and the number of voters as known here.
    QuorumStatus quorumStatus();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace egret
