#include "view_state.h"

#include <algorithm>

namespace egret {

namespace {

/// Difference by which the times that two registry instances report for the same event may vary.
constexpr Milliseconds kInForceTolerance = 50ms;
constexpr std::size_t kMaxNumbersOfText = 32;

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
             .documentNumber = this->textNumber(kDocumentName),
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
        const bool isNew = this->storeText(text);
        const bool isTimeNew =
                this->storeInForceTime(text.name, text.number, text.timeInForce, now);
        changes.state = isTimeNew || isNew || changes.state;
        changes.document = changes.document || (isNew && text.name == kDocumentName);
    }
    for (const TextTime &text : view.replacedTexts)
        changes.state = this->storeInForceTime(text.name, text.number, text.timeInForce, now)
                        || changes.state;
    if (view.isConfirmed)
        this->lastConfirmingRegistry = registry;
    for (const UpstreamRecord &record : view.upstreams) {
        const bool isChanged = this->records.apply(record);
        // The registry sends a record with known fields when the upstream turned cold again.
        const bool isColdAgain = record.coldFor > 0ms && this->records.isStored(record);
        if (isChanged || isColdAgain)
            changes.upstreams.push_back(record.id);
    }
    // The lease on the operators' state starts when the registry instance asked the majority of the
    // control instances to confirm the state. This instance estimates the start, by its own clock,
    // as the time at which it sent the pull less the age of the confirmation. The registry instance
    // measured the age after the pull was sent, so the estimated start is never later than the true
    // start, and the lease never ends too late. A pushed view has no pull and therefore does not
    // extend the lease. Without the content of the newest document the operators' state is
    // incomplete, and the lease is not extended either.
    if (!view.isPush && view.isConfirmed && !this->lacksDocument()) {
        const TimePoint pullSentAt(std::min<Duration>(view.askedAt, now.time_since_epoch()));
        const TimePoint newLeaseEnd = pullSentAt - view.confirmationAge + this->options.lease;
        this->leaseEnd = std::max(this->leaseEnd.value_or(newLeaseEnd), newLeaseEnd);
    }
    return changes;
}

/// Stores a numbered text, that is, a configuration text with a name and a version number, if its
/// version number is higher than that of the stored text with the same name. True when `text` was
/// stored.
bool ViewState::storeText(const NumberedText &text)
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
    return true;
}

/// Stores the earliest reported time at which a number of a text was put in force; true when no
/// time was stored before, or a clearly later one by an instance that restarted. Does nothing if
/// the reported time is unknown.
bool ViewState::storeInForceTime(const std::string &name, std::uint64_t number,
                                 Milliseconds timeInForce, TimePoint now)
{
    if (timeInForce == 0ms)
        return false;
    const TimePoint at = now - timeInForce;
    auto &times = this->inForceSinceByName[name];
    const auto [stored, isNew] = times.emplace(number, at);
    const bool isEarlier = at + kInForceTolerance < stored->second;
    stored->second = std::min(stored->second, at);
    if (times.size() > kMaxNumbersOfText)
        times.erase(times.begin());
    return isNew || isEarlier;
}

std::optional<TimePoint> ViewState::inForceSince(const std::string &textName) const
{
    const auto times = this->inForceSinceByName.find(textName);
    if (times == this->inForceSinceByName.end())
        return std::nullopt;
    const auto found = times->second.find(this->textNumber(textName));
    return found == times->second.end() ? std::nullopt : std::optional(found->second);
}

std::map<std::uint64_t, TimePoint> ViewState::replacedNumbers(const std::string &textName) const
{
    const auto times = this->inForceSinceByName.find(textName);
    if (times == this->inForceSinceByName.end())
        return {};
    return { times->second.begin(), times->second.lower_bound(this->textNumber(textName)) };
}

std::uint64_t ViewState::textNumber(const std::string &textName) const
{
    const auto &texts = this->operatorState.texts;
    const auto current = std::ranges::find(texts, textName, &NumberedText::name);
    return current == texts.end() ? 0 : current->number;
}

std::uint32_t ViewState::gatewayCount() const
{
    std::uint32_t maxGatewayCount = 1;
    for (const auto &[registry, known] : this->knownRegistries)
        maxGatewayCount = std::max(maxGatewayCount, known.gatewayCount);
    return maxGatewayCount;
}

} // namespace egret
