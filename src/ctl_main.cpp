#include "operator_tool.h"

int main(int argc, const char **argv)
{
    return egret::runOperatorTool(argc, argv);
}
