#!/bin/sh
# A slow discovery service and a backend that drains (70 s at most).
exec sh "$(dirname "$0")/../run-case-2.sh" slow-discovery "$(cd "$(dirname "$0")" && pwd)"
