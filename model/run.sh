#!/bin/sh
# Checks the models with spin. Each complete model must have no error, and each
# variant with one guard removed must have a counterexample. Prints the size of
# each state space. Needs spin and cc. Usage: run.sh [BUILD-DIR]
set -u
here=$(cd "$(dirname "$0")" && pwd)
work=$(mkdir -p "${1:-build}" && mktemp -d "${1:-build}/model.XXXXXX") || exit 2
trap 'rm -rf "$work"' EXIT
cd "$work" || exit 2
failed=0

# check MODEL EXPECTED-ERRORS MACRO...
check()
{
	model=$1
	expected=$2
	shift 2
	flags=
	for macro in "$@"; do
		flags="$flags -D$macro"
	done
	# shellcheck disable=SC2086
	optimise=-O2
	[ "$expected" = 0 ] || optimise=-O0
	# shellcheck disable=SC2086
	if ! spin -a $flags "$here/$model.pml" >spin.out 2>&1 ||
		! cc $optimise -DSAFETY -DHC4 -DMEMLIM=1500 -o pan pan.c >cc.out 2>&1
	then
		cat spin.out cc.out
		failed=1
		return
	fi
	./pan -m100000 -w24 >pan.out 2>&1
	errors=$(sed -n 's/.*errors: \([0-9]*\)$/\1/p' pan.out)
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out)
	verdict=ok
	if grep -q 'Search not completed\|max search depth' pan.out &&
		[ "$expected" = 0 ]
	then
		verdict="FAILED (search not completed)"
	fi
	[ "$errors" = "$expected" ] || verdict="FAILED (expected $expected)"
	[ "$verdict" = ok ] || failed=1
	echo "$model $*: $errors errors, $states states: $verdict"
}

for config in "ORDERS" "ORDERS GAP" "USAGE" "USAGE GAP"; do
	# shellcheck disable=SC2086
	check lease 0 $config
done
for config in "ORDERS NO_WAIT" "ORDERS NO_DRIFT_MARGIN" \
	"ORDERS COUNT_FROM_READ" "ORDERS NO_CAS" "ORDERS NO_EXECUTOR_CHECK" \
	"ORDERS GAP NO_INTENT" "ORDERS GAP NO_SAME_ID" \
	"USAGE NO_WAIT" "USAGE NO_CAS" "USAGE NO_EXECUTOR_CHECK" \
	"USAGE NO_FINAL_BEFORE_REPORT" "USAGE NO_FIRST_FINAL"; do
	# shellcheck disable=SC2086
	check lease 1 $config
done
check config 0
for config in NO_CAS NO_TOMBSTONE NO_AGE_CHECK; do
	check config 1 $config
done
for config in USAGE REGULAR_JOINS EXPIRY; do
	check leadership 0 $config
done
for config in "USAGE KEEP_SLOT" "USAGE OWN_USAGE" "USAGE LAST_FINAL" \
	"REGULAR_JOINS NO_WAIT" "REGULAR_JOINS HALF_WAIT" \
	"EXPIRY COUNT_FROM_RESPONSE"; do
	# shellcheck disable=SC2086
	check leadership 1 $config
done
check store 0
for config in NO_VERSION_CHECK NEXT_FROM_LAST_PAGE AGE_FROM_LAST_PAGE \
	AGE_FROM_RESPONSE TRUNCATED_IS_CURRENT ALWAYS_SUBTRACT_HOLD; do
	check store 1 $config
done
exit $failed
