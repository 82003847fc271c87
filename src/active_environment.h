#pragma once

#include "generated/document.h"
#include "generated/messages.h"
#include "guarded.h"
#include "types.h"

#include <functional>
#include <memory>

namespace egret {

/// A revision in force with its parsed and checked document.
struct ActiveRevision
{
    Fence fence;
    std::uint64_t revision{ 0 };
    std::string text;
    EnvironmentDocument document;
};

using ActiveRevisionPtr = std::shared_ptr<const ActiveRevision>;

/// The revision that an instance acts on; only a revision with a higher fence
/// replaces the current one. Thread safe.
class ActiveEnvironment
{
public:
    /// Puts a pushed revision in force; false when its document is malformed or its
    /// fence is not higher than the current one.
    bool apply(const DocumentPush &push);

    /// The revision in force; null until the first one has arrived.
    ActiveRevisionPtr current();

private:
    Guarded<ActiveRevisionPtr, LockRank::environment> active;
};

} // namespace egret
