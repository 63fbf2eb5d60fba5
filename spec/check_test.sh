#!/usr/bin/env bash
# Tests of check.sh: it has to detect a violated property, a removed safeguard that
# causes no violation, an incomplete search and a model that can't be built. Without
# that, a pass of check.sh would prove nothing.
set -u

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
failed=0

# expect STATUS TEXT LINE: runs check.sh on a list with only this check; it must exit
# with the status and print the text.
expect() {
	local status=$1 text=$2 line=$3
	printf '%s\n' "$line" >"$work/list"
	local got=0
	"$here/check.sh" --list "$work/list" >"$work/out" 2>&1 || got=$?
	if [ "$got" -ne "$status" ] || ! grep -q -- "$text" "$work/out"; then
		printf 'check_test.sh: %s: status %d, wanted %d and "%s"\n' "$line" "$got" "$status" "$text"
		cat "$work/out"
		failed=1
	fi
}

expect 0 '  ok$' 'a|start.pml|holds|dfs|STARTS=2'
expect 1 'BROKEN: assertion violated' 'b|start.pml|holds|dfs|STARTS=3 NO_BAR'
expect 1 'NOT FOUND' 'c|start.pml|broken|bfs|STARTS=2'
expect 1 'BROKEN: acceptance cycle' 'd|start.pml|holds|ltl|LIVE NO_ASK_AGAIN STARTS=2'
expect 1 'BUILD FAILED' 'e|start.pml|holds|dfs|STARTS=none'
expect 1 'BUILD FAILED' 'f|absent.pml|holds|dfs|STARTS=2'
DEPTH=20 expect 1 'SEARCH NOT COMPLETE' 'g|start.pml|holds|dfs|STARTS=2'
MEMORY_MB=200 expect 1 'SEARCH NOT COMPLETE' 'h|start.pml|holds|dfs|STARTS=4'
mkdir "$work/bin"
for tool in bash dirname grep mktemp rm cat; do
	ln -s "$(command -v "$tool")" "$work/bin/$tool"
done
out=$(PATH=$work/bin "$here/check.sh" 2>&1)
status=$?
if [ "$status" -ne 2 ] || ! grep -q 'spin is not installed' <<<"$out"; then
	printf 'check_test.sh: without spin: status %d, %s\n' "$status" "$out"
	failed=1
fi
if [ "$failed" -eq 0 ]; then
	echo 'check_test.sh: ok'
fi
exit "$failed"
