#!/usr/bin/env bash
# Tests that check_known_failures accepts valid entries and rejects each kind of malformed entry,
# and that skip_pattern matches exactly the listed tests.
set -euo pipefail
cd "$(dirname "$0")"
. ./known_failures.sh
tmp_dir=$(mktemp -d)
trap 'rm -rf "$tmp_dir"' EXIT
printf 'TestExisting\nTestOther\n' >"$tmp_dir/test_names"

# assert_accepted ENTRIES fails if check_known_failures rejects ENTRIES.
assert_accepted() {
	printf '%s\n' "$1" >"$tmp_dir/list"
	check_known_failures "$tmp_dir/list" "$tmp_dir/test_names" 2>"$tmp_dir/errors" || {
		echo "valid list rejected: $1"
		cat "$tmp_dir/errors"
		exit 1
	}
}

# assert_rejected ENTRIES MESSAGE fails unless check_known_failures rejects ENTRIES with MESSAGE.
assert_rejected() {
	printf '%s\n' "$1" >"$tmp_dir/list"
	if check_known_failures "$tmp_dir/list" "$tmp_dir/test_names" 2>"$tmp_dir/errors"; then
		echo "malformed entry accepted: $1"
		exit 1
	fi
	grep -q "$2" "$tmp_dir/errors" || {
		echo "wrong error message: want '$2', got: $(cat "$tmp_dir/errors")"
		exit 1
	}
}

assert_accepted ''
assert_accepted '# a comment'
assert_accepted 'TestExisting | go test ./pkg | 1 | fails | issue 30'
assert_accepted 'TestExisting/one_core,_14 | go test ./pkg | 1 to 5 | fails | issue 30
bench join+mass | score | the site'"'"'s | floor | issue 30'
assert_rejected 'TestExisting: fails; issue 30' 'five fields'
assert_rejected 'TestExisting | go test ./pkg | 1 | issue 30' 'five fields'
assert_rejected 'TestExisting |  | 1 | fails | issue 30' 'field 2 is empty'
assert_rejected 'TestExisting | go test ./pkg | 1 | fails | some day' 'does not name an issue'
assert_rejected 'TestMissing/sub | go test ./pkg | 1 | fails | issue 30' 'no such test'
assert_rejected 'BenchmarkExisting | go test ./pkg | 1 | fails | issue 30' 'neither a test'
assert_rejected 'TestExisting | go test | 1 | fails | issue 30
TestExisting | go test | 1 | fails | issue 30' 'duplicate case'

printf '%s\n' '# first' \
	'TestExisting/one_core,_14.5 | go test | 1 | fails | issue 30' \
	'bench x | y | 1 | z | issue 1' \
	'TestOther | go test | 1 | fails | issue 30' >"$tmp_dir/list"
pattern=$(skip_pattern "$tmp_dir/list")
[ "$pattern" = '^TestExisting$/^one_core,_14\.5$|^TestOther$' ] || {
	echo "wrong skip pattern: $pattern"
	exit 1
}
echo "known_failures_test.sh: ok"
