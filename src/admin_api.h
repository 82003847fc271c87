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

/// The administration API under /admin/v1. Thread safe.
class AdminApi
{
public:
    AdminApi(std::string environment, Operators &operators, ActiveEnvironment &view,
             SharedRoutingTable &routing, ControlClient &control, SharedServiceLevels &levels,
             InstanceReports &reports);

    /// Serves a request whose path starts with /admin/v1.
    void handle(const HttpRequest &request, const HttpReplyPtr &reply);

    /// Method and path pattern of every operation, for the API's description. Thread safe.
    static std::vector<std::pair<std::string, std::string>> operations();

private:
    /// One request that has been matched to an operation.
    struct Call
    {
        const HttpRequest &request;
        const HttpReplyPtr &reply;
        const OperatorRecord &who;
        std::vector<std::string> parameters; ///< values of the pattern's braces, in order

        const std::string &environment() const { return this->parameters.front(); }
    };

    /// Who may use an operation.
    enum class Access {
        anyOperator,
        editor, ///< of the environment that the path names
        administrator,
    };

    /// An operation of the API.
    struct Route
    {
        const char *method;
        const char *pattern;
        Access access;
        void (AdminApi::*run)(const Call &call);
    };

    static const std::vector<Route> &routes();

    void submit(const Call &call);
    void promote(const Call &call);
    void readTrial(const Call &call);
    void readProduction(const Call &call);
    void status(const Call &call);
    void serviceLevels(const Call &call);
    void readStage(const Call &call, Stage stage);
    void readAudit(const Call &call);
    void readOperators(const Call &call);
    void changeOperators(const Call &call);
    void readMembers(const Call &call);
    void addMember(const Call &call);
    void removeMember(const Call &call);
    void answerText(ControlCommand query, const HttpReplyPtr &reply);
    void auditRefusal(const Route &route, const Call &call);
    static bool isAllowed(const Route &route, const OperatorRecord &who,
                          const std::vector<std::string> &parameters);
    void change(ControlCommand command, const HttpReplyPtr &reply);

    std::string environment;
    Operators &operators;
    ActiveEnvironment &view;
    SharedRoutingTable &routing;
    ControlClient &control;
    SharedServiceLevels &levels;
    InstanceReports &reports;
};

} // namespace egret
