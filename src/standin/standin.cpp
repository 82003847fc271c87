#include "standin/standin.h"

#include "standin/calm_day.h"
#include "standin/engine.h"
#include "standin/origin.h"
#include "standin/relay.h"
#include "standin/service.h"

#include "http_server.h"
#include "log.h"
#include "program.h"

#include <cstdio>

namespace egret {

namespace {

template <class Standin> int serveStandin(const StandinSettings &settings)
{
    WorkerPool pool(settings.workers);
    Standin standin(pool, settings);
    HttpServer http(pool, { .listen = *Endpoint::parse(settings.httpAddress) },
                    [&standin](HttpRequest &&request, HttpReplyPtr reply) {
                        standin.handle(request, reply);
                    });
    Reason<int> reason;
    if (!http.start(reason)) {
        std::fprintf(stderr, "%s: %s: %s\n", settings.instance.c_str(),
                     settings.httpAddress.c_str(), reason.detail.c_str());
        return kExitUsage;
    }
    waitForStopSignal();
    http.stop();
    pool.stop();
    return 0;
}

} // namespace

int runStandin(const StandinSettings &settings)
{
    startLogging({ .program = "egret-standin",
                   .instance = settings.instance,
                   .level = settings.logLevel });
    switch (settings.role) {
    case StandinRole::origin:
        return serveStandin<OriginStandin>(settings);
    case StandinRole::engine:
        return serveStandin<EngineStandin>(settings);
    case StandinRole::service:
        return serveStandin<ServiceStandin>(settings);
    case StandinRole::relay:
        return serveStandin<RelayStandin>(settings);
    case StandinRole::deployment:
        return runCalmDay(settings);
    }
    return kExitUsage;
}

} // namespace egret
