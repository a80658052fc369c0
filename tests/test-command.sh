#!/usr/bin/env bash
# Checks .ci/test on two small test programs. A fake cargo runs both with the arguments for test programs that it gets.
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

cat > "$scratch/bin/cargo" <<FAKE_CARGO
#!/usr/bin/env bash
echo "\$*" >> "$scratch/calls"
while (("\$#")) && [[ \$1 != -- ]]; do shift; done
"$scratch/first" "\${@:2}" && "$scratch/second" "\${@:2}"
FAKE_CARGO
chmod +x "$scratch/bin/cargo"

failed=0
# fail MESSAGE: prints the message and the output of the latest run, and goes on with the next check.
fail() {
    echo "FAILED: $1" >&2
    sed 's/^/    /' "$scratch/output" >&2
    failed=1
}

# run_test_command [TEXT]: runs .ci/test, with a KNOWN-RED.txt of this text or without the file. Sets `code` to the exit
# code. The file `output` then contains what it printed, and `calls` the arguments of each call of cargo.
run_test_command() {
    rm -f "$scratch/root/KNOWN-RED.txt" "$scratch/calls"
    (($# == 0)) || printf '%s' "$1" > "$scratch/root/KNOWN-RED.txt"
    code=0
    PATH="$scratch/bin:$PATH" "$scratch/root/.ci/test" > "$scratch/output" 2>&1 || code=$?
}

# is_printed TEXT: whether the latest run printed this text.
is_printed() { grep -qF -- "$1" "$scratch/output"; }

# expect_refusal TITLE TEXT MESSAGE: a KNOWN-RED.txt of this text is refused with this message, and no test runs.
expect_refusal() {
    run_test_command "$2"
    if ((code != 2)) || ! is_printed "$3" || is_printed "running "; then
        fail "$1: the file is not refused, or a test ran (exit code $code)"
    fi
}

run_test_command
[[ $code != 0 && $(cat "$scratch/calls") == "test --locked" ]] ||
    fail "without a file: not the plain cargo command, or no test failed (exit code $code)"

run_test_command $'red, a fault, with a comma, issue 7\n'
((code == 0)) || fail "a known failing test: not skipped (exit code $code)"
is_printed "known red, skipped: red, a fault, with a comma, issue 7" ||
    fail "a known failing test: the skipped test is not printed"
for test in red_too inner::red in_both other; do
    is_printed "test $test ... ok" || fail "a known failing test: $test did not run or did not pass"
done

run_test_command $'red, a fault, issue 7\ninner::red, another, issue 8\nother, a third, issue 9'
if ((code != 0)) || is_printed "test other " || is_printed "test inner::red " || ! is_printed "test red_too ... ok"; then
    fail "three known failing tests: a listed test ran, another was skipped or one failed (exit code $code)"
fi

run_test_command $'other, names one that passes, issue 7\n'
((code != 0 && code != 2)) || fail "a failing test that is not listed: skipped (exit code $code)"

run_test_command ''
((code != 0 && code != 2)) || fail "an empty file: a failing test is skipped (exit code $code)"

expect_refusal "four lines" $'red, f, issue 1\nred_too, f, issue 1\nother, f, issue 1\ninner::red, f, issue 1\n' "4 lines"
expect_refusal "no issue" $'red, a fault\n' "is not 'TEST, CAUSE, issue NUMBER'"
expect_refusal "no cause" $'red, issue 7\n' "is not 'TEST, CAUSE, issue NUMBER'"
expect_refusal "a blank line" $'red, a fault, issue 7\n\n' "is not 'TEST, CAUSE, issue NUMBER'"
expect_refusal "a part of a name" $'re, a fault, issue 7\n' "'re' names 0 tests"
expect_refusal "a pattern" $'.*, a fault, issue 7\n' "'.*' names 0 tests"
expect_refusal "a name in two programs" $'in_both, a fault, issue 7\n' "'in_both' names 2 tests"

((failed == 0)) && echo "the test command skips exactly the tests that KNOWN-RED.txt lists"
exit "$failed"
