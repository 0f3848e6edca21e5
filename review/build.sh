# Checks the stand-ins and scripts of the review. They are plain Python, so there is nothing to
# compile or install.
set -eu
cd "$(dirname "$0")"
python3 - <<'EOF'
import ast
import pathlib

for path in sorted(pathlib.Path(".").glob("**/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
EOF
