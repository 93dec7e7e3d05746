#!/usr/bin/env bash
# In a planned stop, the upstream of streams that have begun is silent for a second or so.
exec "$(dirname "$0")/../run_case.sh" "$(dirname "$0")" case_silent_worker
