#!/usr/bin/env bash
# In a planned stop, the upstream of streams that have begun is silent for a second or so.
directory=$(dirname "$0")
exec "$directory/../run_case.sh" case_silent_worker "$directory/record.txt"
