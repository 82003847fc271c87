#include "entry.h"
#include "program.h"

int main(int argc, const char **argv)
{
    return egret::runDaemon<egret::EntrySettings>(argc, argv, "egret-entry", egret::runEntry);
}
