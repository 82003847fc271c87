#include "program.h"
#include "standin/standin.h"

int main(int argc, const char **argv)
{
    return egret::runDaemon<egret::StandinSettings>(argc, argv, "egret-standin", egret::runStandin);
}
