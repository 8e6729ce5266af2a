#!/usr/bin/env bash
# Case 3: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it does the
# same without the disruption (`trouble` in case.rs).
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../case.sh" 3
