#pragma once

#include "admission_queue.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace egret {

/// An item that was refused while it waited.
template <class Item> struct RefusedItem
{
    Item item;
    RefusedRequest refusal;
};

/// One admission queue for each route, with the items that wait in it. Not
/// thread safe.
template <class Item> class RouteQueues
{
public:
    explicit RouteQueues(AdmissionOptions options = {}) : options(options) {}

    /// Bounds the requests that wait at once on each route.
    void setLength(std::uint32_t length)
    {
        if (this->options.length == length)
            return;
        this->options.length = length;
        for (auto &[route, queue] : this->byRoute)
            queue.admission.setLength(length);
    }

    /// Queues an item on a route; returns what is refused for it.
    std::vector<RefusedItem<Item>> push(const std::string &route, WaitingRequest request, Item item,
                                        TimePoint now)
    {
        Queue &queue = this->queueOf(route);
        request.id = ++this->lastId;
        queue.items.emplace(request.id, std::move(item));
        return taken(queue, queue.admission.push(request, now));
    }

    /// Gives items in their turn to `offer`, which says what became of each,
    /// until it finds no room. One that waits for a particular upstream does
    /// not hold up the others.
    template <class Offer> void pump(const std::string &route, TimePoint now, Offer &&offer)
    {
        Queue &queue = this->queueOf(route);
        std::vector<WaitingRequest> aside;
        while (const auto next = queue.admission.next(now)) {
            const auto found = queue.items.find(next->id);
            const OfferResult result = offer(found->second);
            if (result == OfferResult::taken) {
                queue.items.erase(found);
                continue;
            }
            aside.push_back(*next);
            if (result == OfferResult::noRoom)
                break;
        }
        for (auto it = aside.rbegin(); it != aside.rend(); ++it)
            queue.admission.putBack(*it);
    }

    /// Removes what has waited too long on any route.
    std::vector<RefusedItem<Item>> expire(TimePoint now)
    {
        std::vector<RefusedItem<Item>> refused;
        for (auto &[route, queue] : this->byRoute) {
            for (auto &item : taken(queue, queue.admission.expire(now)))
                refused.push_back(std::move(item));
        }
        return refused;
    }

    /// Removes one item wherever it waits; false when it does not.
    bool remove(const Item &item)
    {
        for (auto &[route, queue] : this->byRoute) {
            for (const auto &[id, waiting] : queue.items) {
                if (waiting != item)
                    continue;
                queue.admission.remove(id);
                queue.items.erase(id);
                return true;
            }
        }
        return false;
    }

    /// Names of the routes on which something waits.
    std::vector<std::string> busyRoutes() const
    {
        std::vector<std::string> routes;
        for (const auto &[route, queue] : this->byRoute) {
            if (queue.admission.size() > 0)
                routes.push_back(route);
        }
        return routes;
    }

    /// Items that wait on all routes.
    std::size_t size() const
    {
        std::size_t total = 0;
        for (const auto &[route, queue] : this->byRoute)
            total += queue.admission.size();
        return total;
    }

    /// What became of an item that was offered.
    enum class OfferResult : std::uint8_t { taken, skipped, noRoom };

private:
    struct Queue
    {
        AdmissionQueue admission;
        std::map<std::uint64_t, Item> items;
    };

    Queue &queueOf(const std::string &route)
    {
        const auto [found, isNew] = this->byRoute.try_emplace(route);
        if (isNew)
            found->second.admission = AdmissionQueue(this->options);
        return found->second;
    }

    static std::vector<RefusedItem<Item>> taken(Queue &queue,
                                                const std::vector<RefusedRequest> &refusals)
    {
        std::vector<RefusedItem<Item>> out;
        for (const RefusedRequest &refusal : refusals) {
            const auto found = queue.items.find(refusal.id);
            out.push_back({ .item = std::move(found->second), .refusal = refusal });
            queue.items.erase(found);
        }
        return out;
    }

    AdmissionOptions options;
    std::map<std::string, Queue> byRoute;
    std::uint64_t lastId{ 0 };
};

} // namespace egret
