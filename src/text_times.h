#pragma once

#include "generated/messages.h"
#include "types.h"

#include <map>
#include <string>
#include <vector>

namespace egret {

/// Times at which numbered texts came into force, as one registry instance saw them. A text that is
/// replayed from the log or received from another instance after a start dates from then: it has
/// been in force at least since, so the readers' deadlines for it end late, but do end. The readers
/// take the earliest time that any instance reports. Deterministic; not thread safe.
class TextTimes
{
public:
    /// Records the texts of the applied state.
    void onApplied(const std::vector<NumberedText> &texts, TimePoint now);

    /// Time since the text came into force; at least 1 ms, 0 for a text that was never applied.
    Milliseconds timeInForce(const NumberedText &text, TimePoint now) const;

    /// Earlier numbers of the text that were replaced lately, with the times since they came into
    /// force. Each number has a deadline of its own, which a restarted reader has to learn.
    std::vector<TextTime> replacedLately(const NumberedText &text, TimePoint now) const;

private:
    /// By name and number. Few numbers are kept of each text.
    std::map<std::string, std::map<std::uint64_t, TimePoint>> inForceSince;
};

} // namespace egret
