#!/usr/bin/env bash
# Builds the stand-ins, which need nothing but Python 3.11: compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]
