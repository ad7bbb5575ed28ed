#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." && [ -x target/briarspring ] && [ -x target/stand-3 ] || exit 2
exec target/stand-3 drive evacuation review/11
