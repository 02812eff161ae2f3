#!/usr/bin/env bash
# Builds what the scripts of review/7 to review/11 start beside the program of the
# deploy file. Their stand-ins are Python files that need no build, so that this
# only checks the interpreter.
set -eu
python3 -c 'import asyncio, sys; assert sys.version_info >= (3, 11), sys.version'
