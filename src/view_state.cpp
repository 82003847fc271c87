#include "view_state.h"

#include <algorithm>

namespace egret {

namespace {

Milliseconds sinceEpoch(TimePoint at)
{
    return std::chrono::floor<Milliseconds>(at.time_since_epoch());
}

} // namespace

ViewPull ViewState::makePull(const std::string &registry, TimePoint now, bool wantsDocument) const
{
    const auto found = this->knownRegistries.find(registry);
    const KnownRegistry known =
            found == this->knownRegistries.end() ? KnownRegistry{} : found->second;
    return { .instance = this->options.instance,
             .isGateway = this->options.isGateway,
             .sentAt = sinceEpoch(now),
             .receiverIncarnation = known.incarnation,
             .change = known.change,
             .stateIndex = this->operatorState.index,
             .documentNumber = this->number(kDocumentName),
             .wantsDocument = wantsDocument };
}

ViewChanges ViewState::apply(const std::string &registry, const View &view, TimePoint now)
{
    ViewChanges changes;
    KnownRegistry &known = this->knownRegistries[registry];
    const bool isSameIncarnation = known.incarnation == view.incarnation;
    known = { .incarnation = view.incarnation,
              .change = isSameIncarnation ? std::max(known.change, view.change) : view.change,
              .gatewayCount = view.gatewayCount };
    this->registryEndpoints.insert(view.registries.begin(), view.registries.end());
    this->highestDocumentNumber = std::max(this->highestDocumentNumber, view.documentNumber);
    if (view.hasState && view.state.index > this->operatorState.index) {
        this->operatorState.index = view.state.index;
        this->operatorState.zonesOut = view.state.zonesOut;
        changes.state = true;
    }
    for (const NumberedText &text : view.state.texts) {
        const bool isNew = this->applyText(text);
        changes.state = this->applyInForceTime(text, now) || isNew || changes.state;
        changes.document = changes.document || (isNew && text.name == kDocumentName);
    }
    for (const UpstreamRecord &record : view.upstreams) {
        if (this->records.apply(record))
            changes.upstreams.push_back(record.id);
    }
    // Only a response to a pull extends the lease, because the lease is counted from the time of
    // the pull, less the age of the confirmation, and a push answers no pull. Without the text of
    // the newest document the operators' state is incomplete, and the lease is not extended.
    if (!view.isPush && view.isConfirmed && !this->lacksDocument()) {
        const TimePoint askedAt(std::min<Duration>(view.askedAt, now.time_since_epoch()));
        const TimePoint newLeaseEnd = askedAt - view.confirmationAge + this->options.lease;
        this->leaseEnd = std::max(this->leaseEnd.value_or(newLeaseEnd), newLeaseEnd);
    }
    return changes;
}

/// Stores a text if its number is higher than that of the stored text of this name; true when
/// stored.
bool ViewState::applyText(const NumberedText &text)
{
    auto &texts = this->operatorState.texts;
    const auto current = std::ranges::find(texts, text.name, &NumberedText::name);
    if (current == texts.end()) {
        texts.push_back(text);
        return true;
    }
    if (text.number <= current->number)
        return false;
    *current = text;
    this->inForceTimes.erase(text.name);
    return true;
}

/// Stores the earliest reported time at which a text was put in force; true when no time was
/// stored before. Does nothing when the view gives no time or another number of the text.
bool ViewState::applyInForceTime(const NumberedText &text, TimePoint now)
{
    if (text.timeInForce == 0ms || text.number != this->number(text.name))
        return false;
    const TimePoint at = now - text.timeInForce;
    const auto [stored, isNew] = this->inForceTimes.emplace(text.name, at);
    stored->second = std::min(stored->second, at);
    return isNew;
}

std::optional<TimePoint> ViewState::inForceSince(const std::string &textName) const
{
    const auto found = this->inForceTimes.find(textName);
    return found == this->inForceTimes.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t ViewState::number(const std::string &textName) const
{
    const auto &texts = this->operatorState.texts;
    const auto current = std::ranges::find(texts, textName, &NumberedText::name);
    return current == texts.end() ? 0 : current->number;
}

std::uint32_t ViewState::gatewayCount() const
{
    std::uint32_t maxGateways = 1;
    for (const auto &[registry, known] : this->knownRegistries)
        maxGateways = std::max(maxGateways, known.gatewayCount);
    return maxGateways;
}

} // namespace egret
