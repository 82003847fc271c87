#include "view_state.h"

#include <algorithm>

namespace egret {

namespace {

Milliseconds sinceEpoch(TimePoint at)
{
    return std::chrono::floor<Milliseconds>(at.time_since_epoch());
}

} // namespace

ViewPull ViewState::pull(const std::string &registry, TimePoint now, bool wantsDocument) const
{
    const auto found = this->seen.find(registry);
    const Seen known = found == this->seen.end() ? Seen{} : found->second;
    return { .instance = this->options.instance,
             .isGateway = this->options.isGateway,
             .sentAt = sinceEpoch(now),
             .receiverIncarnation = known.incarnation,
             .change = known.change,
             .stateIndex = this->operators.index,
             .documentNumber = this->number(kDocumentName),
             .wantsDocument = wantsDocument };
}

ViewChanges ViewState::take(const std::string &registry, const View &view, TimePoint now)
{
    ViewChanges changes;
    Seen &known = this->seen[registry];
    const bool isSameLife = known.incarnation == view.incarnation;
    known = { .incarnation = view.incarnation,
              .change = isSameLife ? std::max(known.change, view.change) : view.change,
              .gateways = view.gateways };
    this->named.insert(view.registries.begin(), view.registries.end());
    this->knownDocument = std::max(this->knownDocument, view.documentNumber);
    if (view.hasState && view.state.index > this->operators.index) {
        this->operators.index = view.state.index;
        this->operators.zonesOut = view.state.zonesOut;
        changes.state = true;
    }
    for (const NumberedText &text : view.state.texts) {
        const bool isNew = this->takeText(text);
        changes.state = this->takeAge(text, now) || isNew || changes.state;
        changes.document = changes.document || (isNew && text.name == kDocumentName);
    }
    for (const UpstreamRecord &record : view.upstreams) {
        if (this->records.take(record))
            changes.upstreams.push_back(record.id);
    }
    // A push answers nothing: when its state was confirmed is not known here.
    // Nor does a state count whose document is not held yet.
    if (!view.isPush && view.isConfirmed && !this->lacksDocument()) {
        const TimePoint askedAt(std::min<Duration>(view.askedAt, now.time_since_epoch()));
        const TimePoint until = askedAt - view.confirmedFor + this->options.lease;
        this->confirmedUntil = std::max(this->confirmedUntil.value_or(until), until);
    }
    return changes;
}

/// Takes a text of a higher number; true when it was one.
bool ViewState::takeText(const NumberedText &text)
{
    auto &texts = this->operators.texts;
    const auto standing = std::ranges::find(texts, text.name, &NumberedText::name);
    if (standing == texts.end()) {
        texts.push_back(text);
        return true;
    }
    if (text.number <= standing->number)
        return false;
    *standing = text;
    this->namedTimes.erase(text.name);
    return true;
}

/// Takes the time since a text was put in force; true when it was not known.
bool ViewState::takeAge(const NumberedText &text, TimePoint now)
{
    if (text.knownFor == 0ms || text.number != this->number(text.name))
        return false;
    const TimePoint at = now - text.knownFor;
    const auto [known, isNew] = this->namedTimes.emplace(text.name, at);
    known->second = std::min(known->second, at);
    return isNew;
}

std::optional<TimePoint> ViewState::inForceSince(const std::string &text) const
{
    const auto found = this->namedTimes.find(text);
    return found == this->namedTimes.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t ViewState::number(const std::string &text) const
{
    const auto &texts = this->operators.texts;
    const auto standing = std::ranges::find(texts, text, &NumberedText::name);
    return standing == texts.end() ? 0 : standing->number;
}

std::uint32_t ViewState::gateways() const
{
    std::uint32_t most = 1;
    for (const auto &[registry, known] : this->seen)
        most = std::max(most, known.gateways);
    return most;
}

} // namespace egret
