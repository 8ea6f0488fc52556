#!/usr/bin/env bash
exec "$(dirname "$0")/../run_case.sh" 4 forgotten_leave
