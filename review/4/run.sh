#!/usr/bin/env bash
CASE_CLASS=Case4
. "$(dirname "${BASH_SOURCE[0]}")/../lib/run-case.sh"
