# Runs one case: sourced by review/N/run.sh with HERE set to its folder.
RECORD=$HERE/record.txt
CASE=$(basename "$HERE")
# There is a record of every run, also of one that can't begin.
echo "case $CASE, TROUBLE=${TROUBLE:-1}" > "$RECORD" || exit 2
cd "$HERE/../.." || exit 2
PROGRAM=review/stand-ins-2/build/case-$CASE
if [ ! -x "$PROGRAM" ] || [ ! -x target/release/gaparch ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" | tee -a "$RECORD" >&2
    echo "exit code 2" >> "$RECORD"
    exit 2
fi
FOLDER=$(mktemp -d) || exit 2
RECORD_FILE=$RECORD TMPDIR=$FOLDER timeout -k 1 117 "$PROGRAM"
CODE=$?
# Left only if the program was ended before it could end its routers.
for FILE in "$FOLDER"/router-*.pid; do
    [ -f "$FILE" ] && kill -9 "$(cat "$FILE")" 2>/dev/null
done
rm -rf "$FOLDER"
[ "$CODE" -le 2 ] || CODE=2
echo "exit code $CODE" >> "$RECORD"
exit "$CODE"
