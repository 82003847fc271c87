#include "text_times.h"

#include <algorithm>

namespace egret {

namespace {

/// Time after which no deadline of a replaced number can lie ahead.
constexpr Milliseconds kReplacedLifetime = 60s;
constexpr std::size_t kMaxNumbers = 16;

Milliseconds age(TimePoint since, TimePoint now)
{
    return std::max<Milliseconds>(1ms, std::chrono::floor<Milliseconds>(now - since));
}

} // namespace

void TextTimes::onApplied(const std::vector<NumberedText> &texts, TimePoint now)
{
    for (const NumberedText &text : texts) {
        auto &times = this->inForceSince[text.name];
        if (!times.try_emplace(text.number, now).second)
            continue;
        std::erase_if(times, [&](const auto &each) {
            return each.first != text.number && now > each.second + kReplacedLifetime;
        });
        if (times.size() > kMaxNumbers)
            times.erase(times.begin());
    }
}

Milliseconds TextTimes::timeInForce(const NumberedText &text, TimePoint now) const
{
    const auto times = this->inForceSince.find(text.name);
    if (times == this->inForceSince.end())
        return 0ms;
    const auto found = times->second.find(text.number);
    return found == times->second.end() ? 0ms : age(found->second, now);
}

std::vector<TextTime> TextTimes::replacedLately(const NumberedText &text, TimePoint now) const
{
    std::vector<TextTime> replaced;
    const auto times = this->inForceSince.find(text.name);
    if (times == this->inForceSince.end())
        return replaced;
    for (const auto &[number, since] : times->second) {
        if (number < text.number && now <= since + kReplacedLifetime)
            replaced.push_back(
                    { .name = text.name, .number = number, .timeInForce = age(since, now) });
    }
    return replaced;
}

} // namespace egret
