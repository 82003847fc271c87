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
    Milliseconds lease{ 4s }; ///< time for which a confirmed state may be acted on
};

/// What a view changed.
struct ViewChanges
{
    bool state{ false };                ///< operators' state
    bool document{ false };             ///< the document's text
    std::vector<std::string> upstreams; ///< names of those whose records changed
};

/// What a gateway or stager knows from the views of all registry instances: the
/// newest operators' state, every upstream, and until when the state counts as
/// confirmed. Times are those of `bootNow`. Deterministic; not thread safe.
class ViewState
{
public:
    explicit ViewState(ViewStateOptions options) : options(std::move(options)) {}

    /// What to ask a registry instance.
    ViewPull pull(const std::string &registry, TimePoint now, bool wantsDocument = false) const;

    /// True when a registry instance has told of a newer document than is held.
    bool lacksDocument() const { return this->knownDocument > this->number(kDocumentName); }

    /// Number of the newest document that is known of; its text may be lacking.
    std::uint64_t newestDocument() const { return this->knownDocument; }

    /// Takes a view that a registry instance has sent.
    ViewChanges take(const std::string &registry, const View &view, TimePoint now);

    /// True while the operators' state is confirmed by a majority of late, and
    /// the document that it names is held.
    bool isConfirmed(TimePoint now) const
    {
        return this->confirmedUntil && now < *this->confirmedUntil;
    }

    const OperatorState &state() const { return this->operators; }

    /// Time at which the present number of a text was put in force; empty where
    /// no registry instance that has answered saw that.
    std::optional<TimePoint> inForceSince(const std::string &text) const;

    /// Number of a text, 0 for none.
    std::uint64_t number(const std::string &text) const;

    const UpstreamRecords &upstreams() const { return this->records; }

    /// Gateways at work, this one counted; 1 at least.
    std::uint32_t gateways() const;

    /// Link addresses of registry instances that views have named.
    const std::set<std::string> &registries() const { return this->named; }

private:
    struct Seen
    {
        std::uint64_t incarnation{ 0 };
        std::uint64_t change{ 0 };
        std::uint32_t gateways{ 0 };
    };

    bool takeText(const NumberedText &text);
    bool takeAge(const NumberedText &text, TimePoint now);

    static constexpr const char *kDocumentName = "document";

    ViewStateOptions options;
    std::map<std::string, Seen> seen; ///< by registry
    OperatorState operators;
    UpstreamRecords records;
    std::set<std::string> named;
    std::map<std::string, TimePoint> namedTimes; ///< by text
    std::uint64_t knownDocument{ 0 };
    std::optional<TimePoint> confirmedUntil;
};

} // namespace egret
