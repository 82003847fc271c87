#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

namespace egret {

/// What a request costs an engine. `EngineModel::engineTime` converts it to time.
struct RequestCost
{
    double promptTokens{ 0 };
    double outputTokens{ 0 }; ///< expected tokens of the response; 0: unknown
};

/// Learns, for each route, how many tokens responses have compared with the client's estimate.
///
/// Load: a hint is right at the median, but lengths vary widely and their tail is heavy, so the
/// mean ratio of output to hint is above 1, and engines that are filled by hints get more work than
/// counted. Routes differ in their ratio. The state of a route has a fixed size. Deterministic; not
/// thread safe.
class OutputLengths
{
public:
    /// Mean ratio of output to hint of a route, and the number of responses behind it.
    struct HintRatio
    {
        double mean{ 0 };
        double responses{ 0 }; ///< at most the number of responses that are remembered
    };

    /// Sets the routes for which lengths are learned. A route that is in the set before and after
    /// keeps what was learned; all others are forgotten.
    void setRoutes(const std::set<std::string> &names);

    /// Expected number of output tokens of a request. `hint`: the client's estimate; `limit`: the
    /// maximum that the client allows. A hint or limit that is not finite or not positive counts as
    /// none. Without a hint, the mean of the route. Always finite and positive.
    double expected(const std::string &route, std::optional<double> hint,
                    std::optional<double> limit) const;

    /// A response ended whole with `outputTokens`. Ignored for an unknown route and for a number
    /// that is not finite or is negative.
    void onFinished(const std::string &route, std::optional<double> hint, double outputTokens);

    /// Mean ratio of the route's finished responses; without responses the ratio that is assumed at
    /// the start.
    HintRatio hintRatio(const std::string &route) const;

private:
    /// Mean of bounded values. The start value counts as `kStartWeight` values, and later values
    /// count more than those that came `kRememberedResponses` earlier.
    class Mean
    {
    public:
        explicit Mean(double startValue) : mean(startValue) {}
        void add(double value);
        double value() const { return this->mean; }
        double count() const { return this->valueCount; }

    private:
        double mean;
        double valueCount{ 0 };
    };
    struct Route
    {
        Route();

        Mean ratio;
        Mean tokens;
    };

    const Route &find(const std::string &route) const;

    std::map<std::string, Route> routes;
    Route unknownRoute; ///< start values
};

} // namespace egret
