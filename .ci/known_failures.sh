# Functions that read KNOWN-RED.txt, the list of known faults that are not fixed yet.
#
# Lines that start with # are comments. Every other line is an entry of five fields, separated by " | ":
#
#	case | command | seed | observed failure | issue N
#
# A case is a Go test, optionally with a subtest (TestName/subtest, as go test prints it), or
# "bench KIND" for a run of the platform's bench. CI doesn't run the bench.

# known_failures FILE prints the entries of FILE without comments and empty lines.
known_failures() {
	grep -vE '^(#|[[:space:]]*$)' "$1" || true
}

# check_known_failures FILE TEST_NAMES prints each malformed entry of FILE to standard error and
# fails if there is one. The file TEST_NAMES lists the names of all existing tests, one per line.
check_known_failures() {
	known_failures "$1" | awk -F ' [|] ' -v test_names="$2" '
		function report(problem) { printf "%s: %s\n", problem, $0 > "/dev/stderr"; invalid = 1 }
		BEGIN { while ((getline name < test_names) > 0) exists[name] = 1 }
		{
			if (NF != 5) { report("entry does not have five fields"); next }
			for (i = 1; i <= NF; i++) if ($i ~ /^[ \t]*$/) report("field " i " is empty")
			if ($5 !~ /^issue [0-9]+$/) report("last field does not name an issue")
			if (seen[$1]++) report("duplicate case")
			if ($1 ~ /^bench [^ ]/) next
			split($1, parts, "/")
			if ($1 !~ /^Test[^ ]*$/) report("case is neither a test nor a bench run")
			else if (!(parts[1] in exists)) report("no such test")
		}
		END { exit invalid }'
}

# skip_pattern FILE prints the pattern for go test -skip that matches exactly the tests listed in FILE.
skip_pattern() {
	known_failures "$1" | awk -F ' [|] ' '
		$1 ~ /^Test/ {
			n = split($1, parts, "/")
			pattern = ""
			for (i = 1; i <= n; i++) {
				gsub(/[][(){}.*+?^$\\]/, "\\\\&", parts[i])
				pattern = pattern (i > 1 ? "/" : "") "^" parts[i] "$"
			}
			printf "%s%s", (count++ ? "|" : ""), pattern
		}'
}
