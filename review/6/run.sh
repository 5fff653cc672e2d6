#!/bin/sh
# A slow discovery service while backends drain and are replaced (70 s at most).
exec sh "$(dirname "$0")/../run-case-2.sh" slow-discovery "$(cd "$(dirname "$0")" && pwd)"
