#pragma once

#include "generated/messages.h"
#include "types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Bound on the observations in a message. Keeps the traffic to a gateway below 12 kB a second;
/// what doesn't fit is summed up and follows in the next messages.
inline constexpr std::size_t kMaxSpeedObservations = 128;
/// Shortest interval between two messages of a sender to a receiver.
inline constexpr Milliseconds kSpeedMessagePeriod = 1s;

/// Returns the observation with values that answers can give; empty when it holds no answer or a
/// value isn't a number. Thread safe.
std::optional<SpeedObservation> clampedObservation(const SpeedObservation &observation);

/// Sum of two observations of one upstream and kind. Thread safe.
SpeedObservation addedObservations(const SpeedObservation &first, const SpeedObservation &second);

/// Merges in a registry what gateways observe of upstreams' speeds, so that each gateway learns
/// from the answers to all others: of a plain upstream one gateway sees too few. Deterministic; not
/// thread safe.
class SpeedObservationMerger
{
public:
    /// Returns the start time of the present incarnation of an upstream; empty if unknown.
    using StartOf = std::function<std::optional<std::uint64_t>(const std::string &upstream)>;

    /// Adds a gateway's observations. Those of unknown upstreams or of other incarnations are
    /// ignored.
    void add(const SpeedObservations &message, const StartOf &startOf);

    /// Returns, by gateway, the sums of the observations of all others. Empty until
    /// `kSpeedMessagePeriod` has passed, and without news. `gateways`: names of the receivers.
    std::map<std::string, SpeedObservations> take(const std::vector<std::string> &gateways,
                                                  TimePoint now);

    /// Number of gateways' sums that have not been sent yet.
    std::size_t size() const { return this->sumCount; }

private:
    using Key = std::pair<std::string, std::uint64_t>; ///< upstream and kind

    std::map<Key, std::map<std::string, SpeedObservation>> pending; ///< by gateway
    std::size_t sumCount{ 0 }; ///< entries of all maps in `pending`
    Key lastTaken;
    std::optional<TimePoint> takenAt;
};

} // namespace egret
