#!/usr/bin/env bash
# Checks .ci/test on two small test programs, which a stand-in for cargo runs with the arguments that it is given.
set -euo pipefail
repository=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

mkdir -p "$scratch/root/.ci" "$scratch/bin"
cp "$repository/.ci/test" "$scratch/root/.ci/test"

cat > "$scratch/first.rs" <<'RUST'
#[test] fn red() { panic!("a known fault") }
#[test] fn red_too() {}
#[test] fn in_both() {}
mod inner { #[test] fn red() {} }
RUST
cat > "$scratch/second.rs" <<'RUST'
#[test] fn in_both() {}
#[test] fn other() {}
RUST
for program in first second; do
    rustc --edition 2024 --test -o "$scratch/$program" "$scratch/$program.rs"
done

cat > "$scratch/bin/cargo" <<STAND_IN
#!/usr/bin/env bash
echo "\$*" >> "$scratch/calls"
while (("\$#")) && [[ \$1 != -- ]]; do shift; done
"$scratch/first" "\${@:2}" && "$scratch/second" "\${@:2}"
STAND_IN
chmod +x "$scratch/bin/cargo"

failed=0
fail() {
    echo "FAILED: $1" >&2
    sed 's/^/    /' "$scratch/output" >&2
    failed=1
}

# Runs .ci/test with a KNOWN-RED.txt of this text, or without one; sets `code`, and leaves `output` and `calls`.
run() {
    rm -f "$scratch/root/KNOWN-RED.txt" "$scratch/calls"
    (($# == 0)) || printf '%s' "$1" > "$scratch/root/KNOWN-RED.txt"
    code=0
    PATH="$scratch/bin:$PATH" "$scratch/root/.ci/test" > "$scratch/output" 2>&1 || code=$?
}

printed() { grep -qF -- "$1" "$scratch/output"; }

# expect_refusal TITLE TEXT MESSAGE: this file is refused with this message, and no test runs.
expect_refusal() {
    run "$2"
    if ((code != 2)) || ! printed "$3" || printed "running "; then
        fail "$1: not refused (code $code)"
    fi
}

run
[[ $code != 0 && $(cat "$scratch/calls") == "test --locked" ]] || fail "without a file: not the plain command"

run $'red, a fault, with a comma, issue 7\n'
((code == 0)) || fail "a known red test: not skipped (code $code)"
printed "known red, skipped: red, a fault, with a comma, issue 7" || fail "a known red test: not printed"
for test in red_too inner::red in_both other; do
    printed "test $test ... ok" || fail "a known red test: $test did not run"
done

run $'red, a fault, issue 7\ninner::red, another, issue 8\nother, a third, issue 9'
if ((code != 0)) || printed "test other " || printed "test inner::red " || ! printed "test red_too ... ok"; then
    fail "three known red tests: others run or skipped (code $code)"
fi

run $'other, names one that passes, issue 7\n'
((code != 0 && code != 2)) || fail "a failing test that is not named: skipped (code $code)"

run ''
((code != 0 && code != 2)) || fail "an empty file: a failing test skipped (code $code)"

expect_refusal "four lines" $'red, f, issue 1\nred_too, f, issue 1\nother, f, issue 1\ninner::red, f, issue 1\n' "4 lines"
expect_refusal "no issue" $'red, a fault\n' "is not 'TEST, CAUSE, issue NUMBER'"
expect_refusal "no cause" $'red, issue 7\n' "is not 'TEST, CAUSE, issue NUMBER'"
expect_refusal "a blank line" $'red, a fault, issue 7\n\n' "is not 'TEST, CAUSE, issue NUMBER'"
expect_refusal "a part of a name" $'re, a fault, issue 7\n' "'re' names 0 tests"
expect_refusal "a pattern" $'.*, a fault, issue 7\n' "'.*' names 0 tests"
expect_refusal "a name in two programs" $'in_both, a fault, issue 7\n' "'in_both' names 2 tests"

((failed == 0)) && echo "the test command keeps to KNOWN-RED.txt"
exit "$failed"
