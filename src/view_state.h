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
    /// The operators' state changed, or the time at which a text was put in force became known.
    bool state{ false };
    bool document{ false };             ///< the document changed, see `ViewState`
    std::vector<std::string> upstreams; ///< ids of upstreams whose records changed
};

/// State that a gateway or stager merges from the views of all registry instances. A view is
/// the message in which a registry instance sends the operators' state and the changed records
/// of upstreams, as the response to a pull or as a push. The operators' state consists of the
/// zones out of service and of numbered texts: versioned configuration texts; for each
/// name, the text with the highest number is in force. One of these texts is the document, which
/// configures routes, services and customers and whose content is sent only on request. The
/// operators' state may be used only under a lease, which is extended when a majority of the
/// control instances confirms the state. Times are those of `bootNow`. Deterministic; not thread
/// safe.
class ViewState
{
public:
    explicit ViewState(ViewStateOptions options) : options(std::move(options)) {}

    /// Returns the next pull for the registry instance `registry`. A pull is a request for a view.
    /// `wantsDocument`: the view must contain the content of the document.
    ViewPull makePull(const std::string &registry, TimePoint now, bool wantsDocument = false) const;

    /// True while the content of the newest reported document has not been received.
    bool lacksDocument() const
    {
        return this->highestDocumentNumber > this->textNumber(kDocumentName);
    }

    /// Number of the newest document that a registry instance reported; 0 for none.
    std::uint64_t newestDocumentNumber() const { return this->highestDocumentNumber; }

    /// Merges a view from the registry instance `registry`.
    ViewChanges apply(const std::string &registry, const View &view, TimePoint now);

    /// True while the lease on the operators' state is valid.
    bool isConfirmed(TimePoint now) const { return this->leaseEnd && now < *this->leaseEnd; }

    /// Newest operators' state.
    const OperatorState &state() const { return this->operatorState; }

    /// Time at which the stored text `textName` was put in force; empty while no registry instance
    /// has reported the time.
    std::optional<TimePoint> inForceSince(const std::string &textName) const;

    /// Times at which the numbers of the text `textName` that were replaced lately had been put in
    /// force, by number.
    std::map<std::uint64_t, TimePoint> replacedNumbers(const std::string &textName) const;

    /// Version number of the stored text `textName`; 0 when no text of this name is stored.
    std::uint64_t textNumber(const std::string &textName) const;

    /// Records of all upstreams, including departed upstreams.
    const UpstreamRecords &upstreams() const { return this->records; }

    /// Number of active gateways, including this instance if it is a gateway: the highest number
    /// reported by a registry instance, at least 1.
    std::uint32_t gatewayCount() const;

    /// Link address of the registry instance that last confirmed the operators' state, which leads
    /// the quorum; empty for none.
    const std::string &confirmingRegistry() const { return this->lastConfirmingRegistry; }

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

    bool storeText(const NumberedText &text);
    bool storeInForceTime(const std::string &name, std::uint64_t number, Milliseconds timeInForce,
                          TimePoint now);

    static constexpr const char *kDocumentName = "document";

    ViewStateOptions options;
    std::map<std::string, KnownRegistry> knownRegistries; ///< by registry instance
    OperatorState operatorState;
    UpstreamRecords records;
    std::set<std::string> registryEndpoints;
    /// Earliest reported time at which a text was put in force, by its name and number.
    std::map<std::string, std::map<std::uint64_t, TimePoint>> inForceSinceByName;
    std::uint64_t highestDocumentNumber{ 0 };
    std::optional<TimePoint> leaseEnd; ///< empty: no lease was granted yet
    std::string lastConfirmingRegistry;
};

} // namespace egret
