#pragma once

#include "generated/messages.h"
#include "types.h"

#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Decides where a stager asks for the manifest of a weights version. The origin accepts few
/// connections and has a thin link, so only some stagers of each availability zone ask there; the
/// others ask stagers of their zone, and the origin now and then in case none of these has the
/// manifest. Deterministic; not thread safe.
class ManifestSources
{
public:
    /// Forgets the attempts so far, for a new version. `onlyOrigin`: a manifest from another stager
    /// is not trusted.
    void reset(bool onlyOrigin = false);

    /// Returns the link address of the stager to ask next; empty for the origin. `stagers`: all
    /// known stagers, which may include `self`.
    std::optional<std::string> next(const std::vector<PeerRecord> &stagers, const PeerRecord &self);

private:
    std::size_t attempts{ 0 };
    bool usesOnlyOrigin{ false };
};

} // namespace egret
