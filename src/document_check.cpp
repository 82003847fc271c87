#include "document_check.h"

#include <set>

namespace egret {

namespace {

std::string itemPath(const char *list, std::size_t index, const char *field)
{
    return std::string("$.") + list + "[" + std::to_string(index) + "]." + field;
}

/// Error for the first item whose `field` repeats the value of an earlier item. `list`
/// and `name` are the JSON names of the list and the field.
template <class Item> std::string duplicateError(const std::vector<Item> &items,
                                                 std::string Item::*field, const char *list,
                                                 const char *name)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (!seen.insert(items[i].*field).second)
            return itemPath(list, i, name) + ": stands twice";
    }
    return {};
}

/// True for the kinds that measure a time; their objectives need a threshold in milliseconds.
bool needsThreshold(ObjectiveKind kind)
{
    return kind != ObjectiveKind::success;
}

std::string objectivesError(const std::vector<ObjectiveDocument> &objectives)
{
    for (std::size_t i = 0; i < objectives.size(); ++i) {
        const ObjectiveDocument &objective = objectives[i];
        if (!(objective.target > 0 && objective.target < 1))
            return itemPath("objectives", i, "target") + ": between 0 and 1 is expected";
        if (needsThreshold(objective.kind) && objective.threshold.count() == 0)
            return itemPath("objectives", i, "threshold") + ": a bound is needed";
    }
    return {};
}

std::string servicesError(const std::vector<ServiceDocument> &services)
{
    for (std::size_t i = 0; i < services.size(); ++i) {
        for (const std::string &path : services[i].protectedPaths) {
            if (!path.starts_with(services[i].prefix))
                return itemPath("services", i, "protectedPaths") + ": " + path
                       + " is not under the service's prefix";
        }
    }
    return {};
}

} // namespace

std::string documentError(const EnvironmentDocument &document)
{
    const std::string errors[] = {
        document.weights.sources.empty() ? "$.weights.sources: one source at least is needed" : "",
        duplicateError(document.customers, &CustomerDocument::name, "customers", "name"),
        duplicateError(document.customers, &CustomerDocument::keyDigest, "customers", "keyDigest"),
        duplicateError(document.services, &ServiceDocument::name, "services", "name"),
        duplicateError(document.services, &ServiceDocument::prefix, "services", "prefix"),
        servicesError(document.services),
        objectivesError(document.objectives),
    };
    for (const std::string &error : errors) {
        if (!error.empty())
            return error;
    }
    return {};
}

} // namespace egret
