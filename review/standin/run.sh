# Runs one case: sourced by review/N/run.sh with HERE set to its folder.
ROOT=$(cd "$HERE/../.." && pwd)
FOLDER=$(mktemp -d) || exit 2
export HERE ROOT FOLDER
# There is a record of every run, also of one that can't begin.
echo "$(basename "$HERE"): TROUBLE=${TROUBLE:-1}" > "$HERE/record.txt"
program=$ROOT/review/standin/build/case-$(basename "$HERE")
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/gaparch" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build.sh" | tee -a "$HERE/record.txt" >&2
    rm -rf "$FOLDER"
    exit 2
fi
timeout -k 2 110 "$program"
code=$?
# Left only if the program above was ended before it could end the router.
[ -f "$FOLDER/router.pid" ] && kill -9 "$(cat "$FOLDER/router.pid")" 2>/dev/null
[ -f "$FOLDER/router.log" ] && { echo "--- the router's log"; tail -n 40 "$FOLDER/router.log"; } >> "$HERE/record.txt"
rm -rf "$FOLDER"
[ "$code" -le 2 ] || code=2
echo "exit code $code" >> "$HERE/record.txt"
exit "$code"
