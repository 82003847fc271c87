#include "load_generator.h"
#include "program.h"

int main(int argc, const char **argv)
{
    return egret::runDaemon<egret::LoadSettings>(argc, argv, "egret-load", egret::runLoadGenerator);
}
