#pragma once

#include "types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egret {

struct ViewScheduleOptions
{
    double viewsPerSecond{ 300 }; ///< largest rate of views, pulled and pushed
    Milliseconds burst{ 200 };    ///< time whose views may be sent at once
    /// Changes within this time of a push are pushed together.
    Milliseconds gatherTime{ 50 };
    /// A reader that has not pulled for this long gets no pushed views.
    Milliseconds readerTimeout{ 3s };
    /// A pull that has waited for this long is dropped: its reader has asked other registries.
    Milliseconds maxPullWait{ 600 };
};

/// A view that a registry must send now.
struct DueView
{
    std::string reader;
    /// The pull that is answered; empty for a push.
    struct Pull
    {
        Milliseconds sentAt{ 0 }; ///< time of the pull by the reader's clock
        bool wantsDocument{ false };
    };
    std::optional<Pull> pull;
};

/// Decides when a registry sends views to its readers (gateways and stagers).
///
/// Load: hundreds of readers, and upstreams that announce themselves by the dozen within a second,
/// as after a release or the loss of a zone. One push for each change and reader would use up the
/// registry's processor; its confirmations and heartbeats would wait behind the pushes, the
/// readers' leases would end, and their pulls would add to the load. Therefore the rate of views is
/// limited, pulls come before pushes, changes are gathered, each reader has at most one pull and
/// one push waiting, and a reader that is answered in between needs no push. Deterministic; not
/// thread safe.
class ViewSchedule
{
public:
    explicit ViewSchedule(ViewScheduleOptions options = {});

    /// Adds a pull. A later pull of the same reader replaces one that still waits.
    void onPull(const std::string &reader, DueView::Pull pull, TimePoint now);

    /// Something that views contain has changed: every active reader is due a view.
    void onChange() { ++this->lastChange; }

    /// Returns the views to be sent now and counts them as sent.
    std::vector<DueView> takeDue(TimePoint now);

    /// Forgets a reader whose link was lost.
    void erase(const std::string &reader) { this->readers.erase(reader); }

    /// Number of pulls dropped because they waited too long.
    std::uint64_t droppedPulls() const { return this->droppedPullCount; }

private:
    struct Reader
    {
        TimePoint lastPullAt;
        std::uint64_t sentChange{ 0 }; ///< last change that a view to the reader contains
        std::optional<DueView::Pull> pull;
        TimePoint pulledAt; ///< arrival of the oldest pull that `pull` stands for
    };

    void refill(TimePoint now);
    void takePulls(TimePoint now, std::vector<DueView> &due);
    void takePushes(TimePoint now, std::vector<DueView> &due);

    ViewScheduleOptions options;
    std::map<std::string, Reader> readers;
    std::deque<std::string> pullOrder; ///< readers with a waiting pull, oldest first
    std::string lastPushed;            ///< reader of the last push; the next push goes on after it
    std::uint64_t lastChange{ 0 };
    std::optional<TimePoint> lastPushAt;
    double tokens; ///< views that may be sent now
    std::optional<TimePoint> refilledAt;
    std::uint64_t droppedPullCount{ 0 };
};

} // namespace egret
