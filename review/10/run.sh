#!/bin/sh
# An operator empties the agent while clients send long bodies at 64 kB a second (40 s at most).
exec sh "$(dirname "$0")/../run-case-2.sh" door "$(cd "$(dirname "$0")" && pwd)"
