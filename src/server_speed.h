#pragma once

#include "generated/messages.h"
#include "generated/settings.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egret {

/// Options of `ServerSpeeds`.
struct ServerSpeedOptions
{
    double windowAnswers{ 200 };  ///< answers over which an upstream's time is averaged
    Milliseconds halfLife{ 60s }; ///< time after which an answer counts half
    /// Difference in speed, as a share, up to which upstreams count as equal. Avoids that the noise
    /// of estimates moves requests between equal upstreams.
    double deadband{ 0.1 };
    double maxStep{ 0.2 }; ///< largest change of a speed within a second, as a share
};

/// Options as an instance's settings give them.
ServerSpeedOptions serverSpeedOptions(const ServerSpeedSettings &settings);

/// One successful answer. Failures and refusals aren't answers in this sense: a server that fails
/// fast isn't a fast server.
struct SpeedAnswer
{
    std::string upstream;
    std::uint64_t startedAtMs{ 0 }; ///< names the incarnation of `upstream`
    std::string route;              ///< kind of the request; answers of one kind are compared
    /// Time that an engine was predicted to take, with its load and its slowdown at the time of
    /// sending. Empty for upstreams of plain services, which have no model.
    std::optional<FloatMilliseconds> expected;
    FloatMilliseconds measured{ 0 }; ///< of an engine to the first event, otherwise to the answer
    /// Requests at the upstream at the time of sending, with this one: at an engine all, otherwise
    /// those of this gateway.
    double inFlight{ 1 };
};

/// Speed of an upstream, for metrics.
struct ServerSpeedStatus
{
    double speed{ 1 };
    std::uint64_t samples{ 0 }; ///< answers of the incarnation that were used
    Milliseconds age{ 0 };      ///< time since the last of them; 0 without any
};

/// A change of an estimate that operators should know of.
struct ServerSpeedChange
{
    std::string upstream;
    double before{ 1 };
    double after{ 1 };
};

/// Learns how fast upstreams are relative to the fastest ones of their service, and from which
/// number of requests on more work only waits. Load that this addresses: servers of one service
/// that differ in speed for minutes, so that equal loads make the slow ones late while the fast
/// ones idle. The logarithm of an answer's time is fitted as the sum of a term for the kind of the
/// request and a term for the upstream, so that neither a slow kind nor a slow moment of all
/// upstreams makes a single one slow. An upstream without answers has the speed 1.
/// Deterministic; not thread safe.
class ServerSpeeds
{
public:
    explicit ServerSpeeds(ServerSpeedOptions options = {}) : options(options) {}

    /// Lowest speed. Larger differences are treated as this one.
    static constexpr double kMinSpeed = 0.1;

    /// Adds or removes an upstream. A new incarnation starts with the speed 1.
    void onUpstream(const UpstreamRecord &record);

    /// Applies an answer to this gateway. Answers of other incarnations and of unknown upstreams
    /// are ignored, and so are times that aren't positive and finite.
    void onAnswer(const SpeedAnswer &answer, TimePoint now);

    /// Applies answers to other gateways. Values beyond what answers can give are clamped;
    /// observations of other incarnations and of unknown upstreams are ignored.
    void onShared(const SpeedObservation &observation, TimePoint now);

    /// Returns this gateway's answers since the last call, to be sent to a registry. Empty until a
    /// second has passed; never more than `kMaxSpeedObservations`, the rest follows later.
    std::vector<SpeedObservation> takeObservations(TimePoint now);

    /// Computes the speeds anew; to be called several times a second.
    void update(TimePoint now);

    /// Speed from `kMinSpeed` to 1 (as the fastest upstreams of the service); 1 if unknown.
    double speed(const std::string &upstream) const;

    /// Number of requests at the upstream, of all gateways together, beyond which more work only
    /// waits. Infinite if unknown or not lower than the announced slots.
    double comfortableLoad(const std::string &upstream) const;

    /// Returns the estimates that have changed by the factor 1.5 or more since they were last
    /// returned here.
    std::vector<ServerSpeedChange> takeChanges();

    /// Speeds of all upstreams, by id.
    std::map<std::string, ServerSpeedStatus> statuses(TimePoint now) const;

private:
    /// Weighted mean.
    struct Mean
    {
        double weight{ 0 };
        double value{ 0 };
        void add(double sample, double sampleWeight);
    };
    /// Answers with a similar number of requests at the upstream.
    struct LoadClass
    {
        Mean excess; ///< logarithm of the time beyond that of the kind, without the slots' effect
        Mean inFlight;
    };
    static constexpr std::size_t kLoadClasses = 16;
    struct Upstream
    {
        std::uint64_t startedAtMs{ 0 };
        std::string service;
        double slots{ 0 };                    ///< 0: unknown
        std::map<std::uint64_t, Mean> byKind; ///< logarithm of the time
        std::array<LoadClass, kLoadClasses> byLoad;
        Mean variance;        ///< of the logarithm of the time
        double slowness{ 0 }; ///< fitted term, logarithm
        double logSpeed{ 0 }; ///< published estimate
        double loggedLogSpeed{ 0 };
        double comfortableLoad{ std::numeric_limits<double>::infinity() };
        /// Requests of other gateways at the upstream, by Little's law from their answers' times.
        double othersInFlight{ 0 };
        TimePoint othersAt;
        std::uint64_t samples{ 0 };
        TimePoint answeredAt; ///< time of the last answer
        TimePoint agedAt;     ///< time up to which the weights have been reduced
        double weight() const;
    };
    struct Service
    {
        std::map<std::uint64_t, double> byKind; ///< fitted terms, logarithm
    };
    struct OwnAnswers
    {
        std::uint32_t count{ 0 };
        double sum{ 0 };
        double sumOfSquares{ 0 };
        double inFlight{ 0 };
        double busyMs{ 0 };
    };
    using ObservationKey = std::pair<std::string, std::uint64_t>; ///< upstream and kind

    bool apply(Upstream &upstream, const SpeedObservation &observation, TimePoint now);
    void age(Upstream &upstream, double answers, TimePoint now) const;
    void fit(const std::vector<Upstream *> &members, Service &service) const;
    double standardError(const Upstream &upstream) const;
    void publish(const std::vector<Upstream *> &members, Milliseconds elapsed) const;
    double damped(double difference, double error) const;
    static double findComfortableLoad(const Upstream &upstream);

    ServerSpeedOptions options;
    std::map<std::string, Upstream> upstreams;
    std::map<std::string, Service> services;
    std::map<ObservationKey, OwnAnswers> ownAnswers;
    ObservationKey lastTaken; ///< last observation that was sent
    std::optional<TimePoint> takenAt;
    std::optional<TimePoint> updatedAt;
};

} // namespace egret
