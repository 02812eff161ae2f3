#!/bin/sh
# Builds what the scripts of cases 4 to 6 start besides the deploy file's
# program. The stand-ins are Python of the standard library and need no
# build: this checks that the interpreter of scripts/packages.txt reads them.
set -e
cd "$(dirname "$0")"
python3 - standin-2/platform_standin.py [4-6]/scenario.py <<'END'
import sys
import tomllib  # Python 3.11 or later
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
test -x ../target/fuchsia-pool || {
    echo "target/fuchsia-pool is missing: run the build of deploy/system.toml"
    exit 1
}
