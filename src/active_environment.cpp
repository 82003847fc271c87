#include "active_environment.h"

#include "control_state.h"
#include "log.h"

#include <tuple>

namespace egret {

namespace {

/// True when the fence of a push is higher than the fence in force, or no revision is in force.
bool hasHigherFence(const DocumentPush &push, const ActiveRevisionPtr &current)
{
    return !current
           || std::tie(push.fence.epoch, push.fence.sequence)
                      > std::tie(current->fence.epoch, current->fence.sequence);
}

} // namespace

bool ActiveEnvironment::apply(const DocumentPush &push)
{
    // Most pushes answer a pull and repeat the revision in force. They are ignored before their
    // documents are parsed.
    if (!hasHigherFence(push, this->current()))
        return false;
    std::string problem;
    const auto document = parseDocument(push.text, problem);
    if (!document) {
        logError("pushed document is malformed", { { "problem", problem } });
        return false;
    }
    const auto revision =
            std::make_shared<const ActiveRevision>(ActiveRevision{ .fence = push.fence,
                                                                   .revision = push.revision,
                                                                   .text = push.text,
                                                                   .document = *document });
    const bool replaced = this->active.with([&](ActiveRevisionPtr &current) {
        // Another thread may have applied a higher fence since the first check.
        if (!hasHigherFence(push, current))
            return false;
        current = revision;
        return true;
    });
    if (replaced)
        logInfo("revision is in force", { { "revision", push.revision },
                                          { "epoch", push.fence.epoch },
                                          { "sequence", push.fence.sequence } });
    return replaced;
}

ActiveRevisionPtr ActiveEnvironment::current()
{
    return this->active.with([](ActiveRevisionPtr &current) { return current; });
}

} // namespace egret
