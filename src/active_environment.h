#pragma once

#include "generated/document.h"
#include "generated/messages.h"
#include "guarded.h"
#include "types.h"

#include <functional>
#include <memory>

namespace egret {

/// A revision that is in force, with its parsed and checked document.
struct ActiveRevision
{
    Fence fence;
    std::uint64_t revision{ 0 };
    std::string text;
    EnvironmentDocument document;
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
