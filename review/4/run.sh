#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs the same case without its disruption; any other value, or none, with it.
case "${TROUBLE:-1}" in
    0) TROUBLE=0 ;;
    *) TROUBLE=1 ;;
esac
export TROUBLE
exec python3 "$(dirname "$0")/case.py"
