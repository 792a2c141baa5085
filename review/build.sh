#!/bin/sh
# The stand-ins of the cases are Python programs that need no build; this checks that they and the project's stand-in
# modules that they use can be read. The program under test is built by the `build` line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import pathlib
for path in [*pathlib.Path("review").glob("**/*.py"), pathlib.Path("tools/soaklib/store.py"), pathlib.Path("tools/soaklib/wire.py")]:
    compile(path.read_text(), str(path), "exec")
EOF
