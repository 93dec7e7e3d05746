#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
exec review/standins-3/run_case.sh forgotten_crashes review/14/record.txt
