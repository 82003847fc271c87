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
    std::string instance; ///< id of this instance
    bool isGateway{ false };
    Milliseconds lease{ 4s }; ///< duration of the lease, from the confirmation of the state
};

/// Parts of the merged state that a view changed.
struct ViewChanges
{
    /// The operators' state, or the time since which one of its texts is in force.
    bool state{ false };
    bool document{ false };             ///< the operators' document
    std::vector<std::string> upstreams; ///< ids of upstreams whose records changed
};

/// State that a gateway or stager merges from the views of all registry instances. A view is
/// the message in which a registry instance sends the operators' state and the changed records
/// of upstreams, as the response to a pull or as a push. The operators' state consists of the
/// zones out of service and of numbered texts: versioned configuration texts, of which the
/// highest number is in force. One of them is the document, the configuration of routes,
/// services and customers; its text is sent only on request. The operators' state may be used
/// only under a lease, which a confirmation by a majority of the control instances extends.
/// Times are those of `bootNow`. Deterministic; not thread safe.
class ViewState
{
public:
    explicit ViewState(ViewStateOptions options) : options(std::move(options)) {}

    /// Returns the next pull, that is, request for a view, to `registry`. `wantsDocument`: the
    /// view shall contain the text of the document.
    ViewPull makePull(const std::string &registry, TimePoint now, bool wantsDocument = false) const;

    /// True when the text of the newest reported document was not received yet.
    bool lacksDocument() const { return this->highestDocumentNumber > this->number(kDocumentName); }

    /// Number of the newest document that a registry instance reported; 0 for none.
    std::uint64_t newestDocumentNumber() const { return this->highestDocumentNumber; }

    /// Merges a view from the registry instance `registry`.
    ViewChanges apply(const std::string &registry, const View &view, TimePoint now);

    /// True while the lease on the operators' state is valid.
    bool isConfirmed(TimePoint now) const { return this->leaseEnd && now < *this->leaseEnd; }

    /// Newest operators' state.
    const OperatorState &state() const { return this->operatorState; }

    /// Time at which the current number of a text was put in force; empty while no registry
    /// instance reported the time.
    std::optional<TimePoint> inForceSince(const std::string &textName) const;

    /// Current number of a text, 0 for none.
    std::uint64_t number(const std::string &textName) const;

    /// Records of all upstreams, including departed ones.
    const UpstreamRecords &upstreams() const { return this->records; }

    /// Number of active gateways, including this instance if it is a gateway. The highest number
    /// that a registry instance reported, at least 1.
    std::uint32_t gatewayCount() const;

    /// Link addresses of registry instances, as listed in views.
    const std::set<std::string> &registries() const { return this->registryEndpoints; }

private:
    /// Last values that a registry instance reported.
    struct KnownRegistry
    {
        std::uint64_t incarnation{ 0 };  ///< changes when the registry instance restarts
        std::uint64_t change{ 0 };       ///< number of the last change in the received views
        std::uint32_t gatewayCount{ 0 }; ///< number of active gateways
    };

    bool applyText(const NumberedText &text);
    bool applyInForceTime(const NumberedText &text, TimePoint now);

    static constexpr const char *kDocumentName = "document";

    ViewStateOptions options;
    std::map<std::string, KnownRegistry> knownRegistries; ///< by registry instance
    OperatorState operatorState;
    UpstreamRecords records;
    std::set<std::string> registryEndpoints;
    /// Time of being put in force, by name of the text.
    std::map<std::string, TimePoint> inForceTimes;
    std::uint64_t highestDocumentNumber{ 0 };
    std::optional<TimePoint> leaseEnd; ///< empty: no lease was granted yet
};

} // namespace egret
