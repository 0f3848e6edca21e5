# Installs the dependencies, unless they are there, where deploy/launch.py looks for them.
set -eu

deps=$(python3 deploy/dependencies.py)
[ ! -d "$deps" ] || exit 0

# The folder gets its name when it is complete: an interrupted build leaves none.
part=$deps.part.$$
trap 'rm -rf "$part"' EXIT
python3 -m pip install -q --target "$part" -r requirements.txt
mv -T "$part" "$deps" || [ -d "$deps" ] # another build was first
