#pragma once

#include "active_environment.h"
#include "control_client.h"
#include "http_server.h"
#include "instance_reports.h"
#include "operators.h"
#include "request_forwarder.h"
#include "service_levels.h"

#include <string>
#include <utility>
#include <vector>

namespace egret {

/// The HTTP API under /admin/v1 with which operators read the state of the system and change
/// its configuration. Thread safe.
class AdminApi
{
public:
    /// `environment` is the environment that this instance serves.
    AdminApi(std::string environment, Operators &operators, ActiveEnvironment &activeEnvironment,
             SharedRoutingTable &routing, ControlClient &control,
             SharedServiceLevels &serviceLevels, InstanceReports &reports);

    /// Serves a request whose path starts with /admin/v1.
    void handle(const HttpRequest &request, const HttpReplyPtr &reply);

    /// Method and path pattern of every operation, to compare with the OpenAPI
    /// description. Thread safe.
    static std::vector<std::pair<std::string, std::string>> operations();

private:
    /// A request matched to an operation.
    struct Call
    {
        const HttpRequest &request;
        const HttpReplyPtr &reply;
        const OperatorRecord &operatorRecord;
        std::vector<std::string> parameters; ///< values of the pattern's {placeholders}, in order

        /// Environment in the path. Precondition: the first placeholder is {environment}.
        const std::string &environment() const { return this->parameters.front(); }
    };

    /// Operators who may use an operation.
    enum class Access {
        anyOperator,
        editor, ///< editors of the environment in the path
        administrator,
    };

    /// Maps a method and a path pattern to the handler of an operation.
    struct Route
    {
        const char *method;
        const char *pattern;
        Access access;
        void (AdminApi::*handler)(const Call &call);
    };

    static const std::vector<Route> &routes();

    void submit(const Call &call);
    void promote(const Call &call);
    void readTrial(const Call &call);
    void readProduction(const Call &call);
    void readStatus(const Call &call);
    void readServiceLevels(const Call &call);
    void readStage(const Call &call, Stage stage);
    void readAudit(const Call &call);
    void readOperators(const Call &call);
    void changeOperators(const Call &call);
    void readMembers(const Call &call);
    void addMember(const Call &call);
    void removeMember(const Call &call);
    void replyWithText(ControlCommand command, const HttpReplyPtr &reply);
    void auditRefusal(const Route &route, const Call &call);
    static bool isAllowed(const Route &route, const OperatorRecord &operatorRecord,
                          const std::vector<std::string> &parameters);
    void applyChange(ControlCommand command, const HttpReplyPtr &reply);

    std::string environment;
    Operators &operators;
    ActiveEnvironment &activeEnvironment;
    SharedRoutingTable &routing;
    ControlClient &control;
    SharedServiceLevels &serviceLevels;
    InstanceReports &reports;
};

} // namespace egret
