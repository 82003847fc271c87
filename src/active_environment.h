#pragma once

#include "generated/document.h"
#include "generated/messages.h"
#include "guarded.h"
#include "types.h"

#include <functional>
#include <memory>

namespace egret {

/// A revision of the environment document that is in force.
struct ActiveRevision
{
    Fence fence; ///< fencing token under which the revision came into force
    std::uint64_t revision{ 0 };
    std::string text;             ///< text of the document
    EnvironmentDocument document; ///< the parsed and checked text
};

using ActiveRevisionPtr = std::shared_ptr<const ActiveRevision>;

/// The revision that an instance acts on. Only a revision with a higher fence replaces
/// the current revision. Thread safe.
class ActiveEnvironment
{
public:
    /// Puts a pushed revision in force. Returns false when the document is malformed or
    /// the fence is not higher than the fence in force.
    bool apply(const DocumentPush &push);

    /// The revision in force; null until a revision has been put in force.
    ActiveRevisionPtr current();

private:
    Guarded<ActiveRevisionPtr, LockRank::environment> active;
};

} // namespace egret
