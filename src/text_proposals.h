#pragma once

#include "generated/messages.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Numbered texts on their way into the replicated log. At most one text of a name is in the log
/// and not yet applied, and at most one more waits: a text with a higher number takes the place of
/// the one that waits, and whoever sent the earlier one gets the result of the later one. This
/// answers load in which large documents follow each other faster than disks sync.
/// Deterministic; not thread safe.
class TextProposals
{
public:
    using Done = std::function<void(const ControlResult &)>;

    /// Adds a text. `done` gets the result of the text, or of the later one that replaced it.
    void add(NumberedText text, Done done);

    /// Returns the texts to propose now. Call `finish` with the result of each.
    std::vector<NumberedText> takeDue();

    /// Returns the callbacks of the text that was returned by `takeDue`, and of the texts that it
    /// replaced.
    std::vector<Done> finish(const std::string &name);

    /// Bytes of the texts that wait.
    std::size_t waitingBytes() const;

private:
    struct TextQueue
    {
        std::optional<std::uint64_t> numberInLog;
        std::vector<Done> callbacksInLog;
        std::optional<NumberedText> next;
        std::vector<Done> callbacksOfNext;
    };
    std::map<std::string, TextQueue> queuesByName;
};

} // namespace egret
