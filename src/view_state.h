#pragma once

#include "generated/messages.h"
#include "types.h"
#include "upstream_records.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egret {

struct ViewStateOptions
{
    std::string instance;
    bool isGateway{ false };
    Milliseconds lease{ 4s }; ///< time for which a confirmed state is valid
};

/// Changes that a view caused.
struct ViewChanges
{
    bool state{ false };                ///< operators' state changed
    bool document{ false };             ///< the text of the document changed
    std::vector<std::string> upstreams; ///< ids of upstreams whose records changed
};

/// State that a gateway or stager merges from the views of all registry instances:
/// the newest operators' state, all upstreams, and the lease on the confirmed state.
/// Times are those of `bootNow`. Deterministic; not thread safe.
class ViewState
{
public:
    explicit ViewState(ViewStateOptions options) : options(std::move(options)) {}

    /// Next request to a registry instance.
    ViewPull pull(const std::string &registry, TimePoint now, bool wantsDocument = false) const;

    /// True when a registry instance reported a newer document than the one held.
    bool lacksDocument() const { return this->knownDocument > this->number(kDocumentName); }

    /// Number of the newest reported document; its text may be missing.
    std::uint64_t newestDocument() const { return this->knownDocument; }

    /// Merges a view from a registry instance.
    ViewChanges apply(const std::string &registry, const View &view, TimePoint now);

    /// True while the lease on the operators' state holds: a majority confirmed the state
    /// recently while the newest reported document was held here.
    bool isConfirmed(TimePoint now) const
    {
        return this->confirmedUntil && now < *this->confirmedUntil;
    }

    const OperatorState &state() const { return this->operators; }

    /// Time at which the current number of a text was put in force; empty when no
    /// registry instance that responded knows the time.
    std::optional<TimePoint> inForceSince(const std::string &text) const;

    /// Number of a text, 0 for none.
    std::uint64_t number(const std::string &text) const;

    const UpstreamRecords &upstreams() const { return this->records; }

    /// Number of active gateways including this one; at least 1.
    std::uint32_t gateways() const;

    /// Link addresses of registry instances, as listed in views.
    const std::set<std::string> &registries() const { return this->registryEndpoints; }

private:
    struct KnownRegistry
    {
        std::uint64_t incarnation{ 0 };
        std::uint64_t change{ 0 };
        std::uint32_t gateways{ 0 };
    };

    bool applyText(const NumberedText &text);
    bool applyInForceTime(const NumberedText &text, TimePoint now);

    static constexpr const char *kDocumentName = "document";

    ViewStateOptions options;
    std::map<std::string, KnownRegistry> knownRegistries; ///< by registry instance
    OperatorState operators;
    UpstreamRecords records;
    std::set<std::string> registryEndpoints;
    std::map<std::string, TimePoint> inForceTimes; ///< by name of the text
    std::uint64_t knownDocument{ 0 };
    std::optional<TimePoint> confirmedUntil;
};

} // namespace egret
