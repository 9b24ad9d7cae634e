# Puts the runtime dependencies and the sources into target/deps, compiled to bytecode.
set -eu
deps=target/deps
if [ ! target/requirements.stamp -nt deploy/requirements.txt ]; then
  rm -rf "$deps"
  python3 -m pip install --quiet --target "$deps" -r deploy/requirements.txt
  touch target/requirements.stamp
fi
for source in packages/bergamotferry packages/bergamotferry_host; do
  rm -rf "$deps/$(basename "$source")"
  cp -R "$source"/src/* "$deps"/
done
rm -rf "$deps/bergamotferry_platform"
cp -R platform/src/* "$deps"/
rm -rf "$deps"/*.egg-info
python3 -m compileall -q "$deps"
