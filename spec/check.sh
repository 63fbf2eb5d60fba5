#!/usr/bin/env bash
# Runs the model checks of this directory with spin and prints a table of results.
#
#   check.sh              every check of the standard set
#   check.sh --long       the standard set and the larger searches
#   check.sh --list FILE  the checks listed in FILE (format of checks.txt)
#   check.sh NAME...      the named checks only
#   check.sh --replay NAME  the counterexample of a check, step by step
#
# Exit status: 0 every check gave the expected verdict, 1 at least one did not,
# 2 no check could be run.
set -u -o pipefail

readonly lanes=2                       # concurrent searches
readonly memory_mb=${MEMORY_MB:-3500}  # memory limit of one search
readonly depth=${DEPTH:-1000000}       # depth limit of one search; a check that exceeds it fails

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)

standard_checks() { grep -v '^#' "$here/checks.txt"; }
long_checks() { grep -v '^#' "$here/checks-long.txt"; }

# Prints the line of the check with the given name.
find_check() {
	{ standard_checks; long_checks; } | grep -F -- "$1|" | grep "^$1|"
}

macros_of() {
	local macro
	for macro in $1; do
		printf -- '-D%s ' "$macro"
	done
}

# Builds the verifier (pan) of one check in the directory.
build() {
	local dir=$1 model=$2 search=$3 macros=$4
	local flags="-w -DMEMLIM=$memory_mb -DNOREDUCE -DVECTORSZ=2048"
	case $search in
	dfs) flags="$flags -O2 -DSAFETY" ;;
	bfs) flags="$flags -O0 -DSAFETY -DBFS" ;;
	ltl) flags="$flags -O2 -DNOFAIR" ;;
	esac
	cp -p "$here/$model" "$dir/" || return
	# shellcheck disable=SC2046
	(cd "$dir" && spin -a $(macros_of "$macros") "$model" && gcc $flags -o pan pan.c) >"$dir/build.txt" 2>&1
}

# Runs the verifier and writes its report to pan.txt.
search() {
	local dir=$1 kind=$2
	local flags="-m$depth"
	if [ "$kind" = ltl ]; then
		flags="-a $flags"
	fi
	(cd "$dir" && ./pan $flags) >"$dir/pan.txt" 2>&1
}

# Prints the verdict on a report: ok, or the reason why the check fails.
judge() {
	local dir=$1 expected=$2 search=$3
	local report=$dir/pan.txt
	local errors
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$report")
	if [ -z "$errors" ]; then
		echo "no report"
		return
	fi
	if [ "$expected" = holds ]; then
		if [ "$errors" != 0 ]; then
			echo "BROKEN: $(grep -m1 '^pan:1:' "$report" | cut -c8-60)"
		elif grep -q -e 'out of memory' -e 'Search not completed' -e 'max search depth too small' -e 'truncated' "$report"; then
			echo "SEARCH NOT COMPLETE"
		else
			echo ok
		fi
		return
	fi
	local wanted='assertion violated'
	if [ "$search" = ltl ]; then
		wanted='acceptance cycle'
	fi
	if [ "$errors" = 0 ]; then
		echo "NOT FOUND"
	elif grep -q "^pan:1: $wanted" "$report"; then
		echo ok
	else
		echo "OTHER ERROR: $(grep -m1 '^pan:1:' "$report" | cut -c8-60)"
	fi
}

# Runs one check and writes its table row to row.txt.
run_check() {
	local dir=$1 line=$2
	local name model expected search macros verdict
	IFS='|' read -r name model expected search macros <<<"$line"
	if build "$dir" "$model" "$search" "$macros"; then
		search "$dir" "$search"
		verdict=$(judge "$dir" "$expected" "$search")
	else
		verdict="BUILD FAILED: $(tail -n 1 "$dir/build.txt")"
		: >"$dir/pan.txt"
	fi
	local states reached seconds
	states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' "$dir/pan.txt")
	reached=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' "$dir/pan.txt")
	seconds=$(sed -n 's/^pan: elapsed time \([0-9.]*\) seconds/\1/p' "$dir/pan.txt")
	printf '%-34s %-7s %10s %6s %7s  %s\n' "$name" "$expected" "${states:--}" "${reached:--}" "${seconds:-0}" "$verdict" >"$dir/row.txt"
	# The verifier and its sources take a few megabytes and are no longer needed.
	rm -f "$dir/pan" "$dir"/pan.[bchmpt]
}

# Runs the checks, at most $lanes concurrently, and prints their rows in order.
run_all() {
	local work=$1
	local number=0 line dirs=()
	while IFS= read -r line; do
		number=$((number + 1))
		local dir=$work/$number
		mkdir -p "$dir"
		dirs+=("$dir")
		while [ "$(jobs -rp | wc -l)" -ge "$lanes" ]; do
			wait -n
		done
		run_check "$dir" "$line" &
	done
	wait
	printf '%-34s %-7s %10s %6s %7s  %s\n' check expect states depth seconds verdict
	local failed=0
	for dir in "${dirs[@]}"; do
		cat "$dir/row.txt"
		if ! grep -q '  ok$' "$dir/row.txt"; then
			failed=$((failed + 1))
		fi
	done
	printf '%d checks, %d without the expected verdict\n' "$number" "$failed"
	[ "$number" -gt 0 ] && [ "$failed" -eq 0 ]
}

# Prints the counterexample of one check.
replay() {
	local work=$1 line=$2
	local name model expected search macros
	IFS='|' read -r name model expected search macros <<<"$line"
	if ! build "$work" "$model" "$search" "$macros"; then
		cat "$work/build.txt"
		return 2
	fi
	search "$work" "$search"
	if [ ! -f "$work/$model.trail" ]; then
		echo "$name: no run breaks it"
		return 0
	fi
	# shellcheck disable=SC2046
	(cd "$work" && spin -t -B -T $(macros_of "$macros") "$model")
}

main() {
	local tool
	for tool in spin gcc; do
		if ! command -v "$tool" >/dev/null; then
			echo "check.sh: $tool is not installed: no model was checked" >&2
			exit 2
		fi
	done
	work=$(mktemp -d) || exit 2
	trap 'rm -rf "$work"' EXIT
	local name line lines=""
	if [ "${1:-}" = --replay ]; then
		line=$(find_check "${2:-}") || { echo "check.sh: no check is named '${2:-}'" >&2; exit 2; }
		replay "$work" "$line"
		exit
	fi
	if [ "${1:-}" = --long ]; then
		lines=$(standard_checks; long_checks)
	elif [ "${1:-}" = --list ]; then
		lines=$(grep -v '^#' "${2:-}") || { echo "check.sh: no list '${2:-}'" >&2; exit 2; }
	elif [ $# -gt 0 ]; then
		for name in "$@"; do
			line=$(find_check "$name") || { echo "check.sh: no check is named '$name'" >&2; exit 2; }
			lines+=$line$'\n'
		done
		lines=${lines%$'\n'}
	else
		lines=$(standard_checks)
	fi
	run_all "$work" <<<"$lines"
}

main "$@"
