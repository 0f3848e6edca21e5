# Installs the dependencies into the directory that deploy/launch.py uses, unless it exists.
set -eu

deps=$(python3 deploy/dependencies.py)
[ ! -d "$deps" ] || exit 0

# The directory gets its final name when it is complete, so an interrupted build is repeated.
partial=$deps.part.$$
trap 'rm -rf "$partial"' EXIT
python3 -m pip install -q --target "$partial" -r requirements.txt
mv -T "$partial" "$deps" || [ -d "$deps" ] # a concurrent build may have been first
