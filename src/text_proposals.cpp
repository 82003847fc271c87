#include "text_proposals.h"

namespace egret {

void TextProposals::add(NumberedText text, Done done)
{
    TextQueue &queue = this->queuesByName[text.name];
    if (queue.numberInLog && text.number <= *queue.numberInLog) {
        queue.callbacksInLog.push_back(std::move(done));
        return;
    }
    queue.callbacksOfNext.push_back(std::move(done));
    if (!queue.next || text.number > queue.next->number)
        queue.next = std::move(text);
}

std::vector<NumberedText> TextProposals::takeDue()
{
    std::vector<NumberedText> due;
    for (auto &[name, queue] : this->queuesByName) {
        if (queue.numberInLog || !queue.next)
            continue;
        queue.numberInLog = queue.next->number;
        queue.callbacksInLog = std::exchange(queue.callbacksOfNext, {});
        due.push_back(std::move(*std::exchange(queue.next, std::nullopt)));
    }
    return due;
}

std::vector<TextProposals::Done> TextProposals::finish(const std::string &name)
{
    const auto found = this->queuesByName.find(name);
    if (found == this->queuesByName.end())
        return {};
    std::vector<Done> callbacks = std::exchange(found->second.callbacksInLog, {});
    found->second.numberInLog.reset();
    if (!found->second.next)
        this->queuesByName.erase(found);
    return callbacks;
}

std::size_t TextProposals::waitingBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[name, queue] : this->queuesByName)
        bytes += queue.next ? queue.next->text.size() : 0;
    return bytes;
}

} // namespace egret
