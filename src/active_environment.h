#pragma once

#include "generated/document.h"
#include "generated/messages.h"
#include "guarded.h"
#include "types.h"

#include <functional>
#include <memory>

namespace egret {

/// A revision in force, checked and ready for use.
struct ActiveRevision
{
    Fence fence;
    std::uint64_t revision{ 0 };
    std::string text;
    EnvironmentDocument document;
};

using ActiveRevisionPtr = std::shared_ptr<const ActiveRevision>;

/// The revision that an instance acts on. It only ever moves to a higher
/// fence. Thread safe.
class ActiveEnvironment
{
public:
    /// Takes a pushed revision; true when it replaced an older one.
    bool apply(const DocumentPush &push);

    /// The revision in force; null before the first came.
    ActiveRevisionPtr current();

private:
    Guarded<ActiveRevisionPtr, LockRank::environment> active;
};

} // namespace egret
