#include "agent.h"
#include "program.h"

int main(int argc, const char **argv)
{
    return egret::runDaemon<egret::AgentSettings>(argc, argv, "egret-agent", egret::runAgent);
}
