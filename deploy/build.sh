#!/bin/sh
# Puts what the daemons need under target/: libraries, this package, compiled,
# and the keys with which they prove themselves to each other.
set -eu
stamp=target/.built
# By content: times of files tell nothing in a copied or cloned folder.
sources=$(find src deploy pyproject.toml constraints.txt -type f \
    ! -name '*.pyc' ! -path 'deploy/days/*' -exec sha256sum {} + \
    | sort | sha256sum)
if [ -f "$stamp" ] && [ "$sources" = "$(cat "$stamp")" ]; then
    exit 0
fi
rm -f "$stamp"
mkdir -p target/deps
if [ ! -f target/.libraries ] || [ deploy/requirements.txt -nt target/.libraries ]; then
    python3 -m pip install --quiet --upgrade --target target/deps \
        --constraint constraints.txt --requirement deploy/requirements.txt
    touch target/.libraries
fi
rm -rf target/deps/shallothinge
cp -R src/shallothinge target/deps/shallothinge
find target/deps/shallothinge -type d \( -name tests -o -name __pycache__ \) \
    -prune -exec rm -rf {} +
python3 -m compileall -q -j 0 target/deps >/dev/null || true
if [ ! -d target/keys ]; then
    PYTHONPATH=target/deps python3 deploy/make_keys.py target/keys.new
    mv target/keys.new target/keys
fi
printf '%s\n' "$sources" > "$stamp"
