//! Tests of the operators' file: the policy that a valid file sets, faults with their lines, and
//! unreadable files.

use super::*;
use crate::decision::Outcome;
use crate::retry_policy::{FrontendKind, OutcomeSet, RequestAttributes};

fn constraints(parallel_attempts: bool) -> PlatformConstraints {
    let class = |name: &str, runs_once| ClassConstraints {
        name: name.to_owned(),
        non_idempotent: runs_once,
        client_timeout_ms: 15_000.0,
    };
    PlatformConstraints {
        classes: vec![
            class("seat-check", false),
            class("usage-report", false),
            class("log-load", true),
        ],
        members: vec!["member-north".to_owned(), "member-south".to_owned()],
        max_attempts: 6,
        parallel_attempts_allowed: parallel_attempts,
    }
}

const VALID_FILE: &str = r#"version = 1

[attempts.default]
timeout_ms = 9000
attempt_timeout_ms = 900
max_attempts = 3
retry_on = ["no-connection", "full", "never-sent", "reset", "error", "timed-out"]
backoff = { base_ms = 20, max_ms = 400, jitter = 0.5 }
budget = { ratio = 0.1, min_per_s = 3, window_s = 10 }

[attempts.class.usage-report]
attempt_timeout_ms = 4000

[[attempts.route]]
name = "north-reports"
match = { member = ["member-north"], class = ["usage-report"], front = "flight", data_set = [17] }
max_attempts = 2
"#;

const REPORT_REQUEST: RequestAttributes = RequestAttributes {
    class: 1,
    member: 0,
    frontend: FrontendKind::Flight,
    data_set: 17,
};

fn faults(text: &str, constraints: &PlatformConstraints) -> Vec<Fault> {
    parse_and_check(text, Some(constraints))
        .err()
        .unwrap_or_default()
}

fn policy(text: &str, constraints: &PlatformConstraints) -> crate::retry_policy::Policy {
    parse_and_check(text, Some(constraints))
        .expect("valid file")
        .1
        .expect("a policy")
}

#[test]
fn each_key_of_a_valid_file_comes_from_its_narrowest_table() {
    let policy = policy(VALID_FILE, &constraints(true));
    let effective = policy.resolve(&REPORT_REQUEST);
    assert_eq!(
        (
            effective.attempt_timeout_ms,
            effective.max_attempts,
            effective.timeout_ms
        ),
        (Some(4000.0), Some(2), Some(9000.0))
    );
    let on_platform = policy.resolve(&RequestAttributes {
        frontend: FrontendKind::Platform,
        ..REPORT_REQUEST
    });
    assert_eq!(on_platform.max_attempts, Some(3));
    // A class that may run once only does not inherit the default's hedging, nor its outcomes that
    // may have run.
    let for_log_load = policy.resolve(&RequestAttributes {
        class: 2,
        ..REPORT_REQUEST
    });
    assert_eq!(for_log_load.hedging, None);
    let outcomes_without_a_run = OutcomeSet::default()
        .with(Outcome::NoConnection)
        .with(Outcome::Rejected)
        .with(Outcome::NotSent);
    assert_eq!(for_log_load.retry_on, Some(outcomes_without_a_run));
    let explained = policy.explain(&REPORT_REQUEST);
    let value_and_source = |key: &str| {
        explained
            .iter()
            .find(|s| s.key == key)
            .map(|s| (s.value.clone(), s.source.clone()))
    };
    assert_eq!(
        value_and_source("max_attempts"),
        Some(("2".into(), "route north-reports".into()))
    );
    assert_eq!(
        value_and_source("attempt_timeout_ms"),
        Some(("4000".into(), "class usage-report".into()))
    );
    assert_eq!(
        value_and_source("timeout_ms"),
        Some(("9000".into(), "default".into()))
    );
}

#[test]
fn an_empty_file_sets_no_policy() {
    let policy = policy("version = 1\n", &constraints(false));
    assert!(policy.is_empty());
    assert_eq!(
        policy.resolve(&REPORT_REQUEST),
        crate::retry_policy::AttemptPolicy::default()
    );
}

/// A file with many kinds of faults: one check reports them all, each with its line, ordered by
/// line.
#[test]
fn all_faults_are_found_at_once_each_with_its_line() {
    let text = r#"version = 1
[attempts.default]
second_copy = { after_ms = 150, ratio = 0.05 }
backoff = { base_ms = 400, max_ms = 800, jitter = 1.5 }
[attempts.class.seat-check]
timeout_ms = 20000
attempt_timeout_ms = 16000
max_attempts = 9
[attempts.class.log-load]
retry_on = ["full", "reset", "errors"]
[attempts.class.seat-chek]
max_attempts = 2
[[attempts.route]]
name = "a"
match = { class = ["usage-report"] }
timeout_ms = 3000
[[attempts.route]]
name = "b"
match = { member = ["member-north", "member-west"], front = "flgiht" }
timeout_ms = 4000
[[attempts.route]]
name = "c"
match = { class = [] }
"#;
    let found = faults(text, &constraints(false));
    let positions: Vec<(Option<usize>, &str)> =
        found.iter().map(|f| (f.line, f.key.as_str())).collect();
    let expected_positions = [
        (Some(3), "attempts.default.second_copy"),
        (Some(4), "attempts.default.backoff.jitter"),
        (Some(6), "attempts.class.seat-check.timeout_ms"),
        (Some(7), "attempts.class.seat-check.attempt_timeout_ms"),
        (Some(8), "attempts.class.seat-check.max_attempts"),
        (Some(10), "attempts.class.log-load.retry_on"),
        (Some(10), "attempts.class.log-load.retry_on"),
        (Some(11), "attempts.class.seat-chek"),
        (Some(19), "attempts.route[1].match.member"),
        (Some(19), "attempts.route[1].match.front"),
    ];
    for expected in expected_positions {
        assert!(positions.contains(&expected), "{expected:?} in {found:#?}");
    }
    let messages = |key: &str| {
        found
            .iter()
            .filter(|f| f.key == key)
            .map(ToString::to_string)
            .collect::<Vec<_>>()
    };
    assert!(messages("attempts.class.seat-chek")[0].contains("did you mean \"seat-check\""));
    let retry_on = messages("attempts.class.log-load.retry_on").join("\n");
    assert!(
        retry_on.contains("\"errors\" is not an outcome")
            && retry_on.contains("did you mean \"error\""),
        "{retry_on}"
    );
    assert!(messages("attempts.route[1].match.front")[0].contains("did you mean \"flight\""));
    assert!(messages("attempts.route[1].match.member")[0].contains("member-west"));
    // The faults of all checks are ordered by line, those of the range checks included.
    let lines: Vec<usize> = found.iter().filter_map(|f| f.line).collect();
    assert!(lines.windows(2).all(|w| w[0] <= w[1]), "{lines:?}");
}

#[test]
fn contradictions_to_the_settings_are_faults() {
    // Hedging of a class that may run once only, though two attempts may be in flight; backoff
    // delays that exceed the request timeout; and a route that retries a class that may run once
    // only after a reset.
    let text = r#"version = 1
[attempts.class.log-load]
second_copy = { after = "p99", ratio = 0.01 }
[attempts.class.seat-check]
timeout_ms = 1000
max_attempts = 6
backoff = { base_ms = 100, max_ms = 400 }
[[attempts.route]]
name = "wide"
match = { member = ["member-north"] }
retry_on = ["reset"]
"#;
    let found = faults(text, &constraints(true));
    let keys: Vec<&str> = found.iter().map(|f| f.key.as_str()).collect();
    assert_eq!(
        keys,
        [
            "attempts.class.log-load.second_copy",
            "attempts.class.seat-check.backoff",
            "attempts.route[0].retry_on"
        ]
    );
    assert!(
        found[0].problem.contains("may run once only"),
        "{}",
        found[0]
    );
    assert!(
        found[2].problem.contains("log-load") && found[2].problem.contains("reset"),
        "{}",
        found[2]
    );
    // The file by itself has no faults: these checks need the settings.
    assert!(parse(text).is_ok());
}

#[test]
fn routes_that_conflict_or_match_nothing_are_faults() {
    let text = r#"version = 1
[[attempts.route]]
name = "by class"
match = { class = ["seat-check"] }
timeout_ms = 1000
[[attempts.route]]
name = "by member"
match = { member = ["member-north"] }
timeout_ms = 2000
[[attempts.route]]
name = "nothing"
match = { data_set = [] }
[[attempts.route]]
name = "by class"
match = { front = "platform" }
"#;
    let found = faults(text, &constraints(false));
    let messages: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert!(
        messages.iter().any(|s| s.starts_with(
            "line 14: attempts.route[3].name: an earlier route is named \"by class\" too"
        )),
        "{messages:#?}"
    );
    // Conflicts between routes are checked only in a file without other faults, so the duplicate
    // name is replaced.
    let text = text.replace(
        "name = \"by class\"\nmatch = { front",
        "name = \"fourth\"\nmatch = { front",
    );
    let messages: Vec<String> = faults(&text, &constraints(false))
        .iter()
        .map(ToString::to_string)
        .collect();
    assert!(
        messages.iter().any(|s| s.starts_with("line 6:")
            && s.contains("\"by class\" and \"by member\"")
            && s.contains("timeout_ms")),
        "{messages:#?}"
    );
    assert!(
        messages.iter().any(
            |s| s.starts_with("line 10:") && s.contains("\"nothing\" cannot match any request")
        ),
        "{messages:#?}"
    );
}

#[test]
fn each_malformed_file_has_a_fault_with_its_line() {
    let cases = [
        ("", Some(1), "missing field `version`"),
        ("version = 2\n", Some(1), "is greater than 1"),
        (
            "version = 1\n[attempts.default]\ntimeout = 5\n",
            Some(3),
            "unknown field `timeout`",
        ),
        (
            "version = 1\n[attempts.default]\nmax_attempts = \"3\"\n",
            Some(3),
            "invalid type",
        ),
        ("version = 1\n[attempts\n", Some(2), ""),
        (
            "version = 1\n[attempts.default]\nname = \"x\"\n",
            Some(3),
            "name is allowed in routes only",
        ),
        (
            "version = 1\n[[attempts.route]]\nmatch = { class = [\"a\"] }\n",
            Some(2),
            "the route has no name",
        ),
        (
            "version = 1\n[attempts.default]\nbackoff = { base_ms = 9, max_ms = 1 }\n",
            Some(3),
            "above max_ms",
        ),
        (
            "version = 1\n[attempts.default]\nsecond_copy = { after = \"q9\", ratio = 0.1 }\n",
            Some(3),
            "is not a percentile",
        ),
        (
            "version = 1\n[attempts.default]\nbudget = { ratio = 2, window_s = 10 }\n",
            Some(3),
            "is greater than 1",
        ),
    ];
    for (text, line, problem) in cases {
        let found = parse(text).expect_err(text);
        assert_eq!(found[0].line, line, "{text:?}: {found:?}");
        assert!(found[0].problem.contains(problem), "{text:?}: {found:?}");
        assert!(!found[0].suggestion.is_empty());
    }
}

#[test]
fn unreadable_files_are_faults() {
    let folder = std::env::temp_dir().join(format!("magpiechute-file-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create folder");
    assert_eq!(read(&folder.join("none.toml")), Ok(None));
    assert!(
        read(&folder)
            .expect_err("a folder")
            .problem
            .contains("folder")
    );
    let too_large = folder.join("big.toml");
    std::fs::write(&too_large, vec![b'#'; (MAX_FILE_BYTES + 1) as usize]).expect("write file");
    assert!(
        read(&too_large)
            .expect_err("too large")
            .problem
            .contains("larger")
    );
    let not_utf8 = folder.join("bad.toml");
    std::fs::write(&not_utf8, b"version = 1\n# \xff\n").expect("write file");
    let fault = read(&not_utf8).expect_err("not UTF-8");
    assert_eq!(
        (fault.line, fault.problem.contains("UTF-8")),
        (Some(2), true)
    );
    let valid = folder.join("good.toml");
    std::fs::write(&valid, VALID_FILE).expect("write file");
    assert_eq!(read(&valid), Ok(Some(VALID_FILE.to_owned())));
    std::fs::remove_dir_all(&folder).expect("remove folder");
}

#[test]
fn the_schema_in_deploy_is_the_one_that_the_program_prints() {
    let stored_schema = include_str!("../../deploy/magpiechute.schema.json");
    assert_eq!(
        stored_schema,
        schema(),
        "run `workload-manager schema > deploy/magpiechute.schema.json`"
    );
}

#[test]
fn hedging_that_this_version_does_not_carry_out_is_a_fault() {
    let text = "version = 1\n[attempts.class.seat-check]\nsecond_copy = { after = \"p95\", ratio = 0.05 }\n";
    let found = faults(text, &constraints(true));
    assert_eq!(found.len(), 1);
    assert!(found[0].to_string().starts_with(
        "line 3: attempts.class.seat-check.second_copy: this version does not send hedged requests"
    ));
}

#[test]
fn the_example_in_deploy_has_no_faults() {
    let text = include_str!("../../deploy/magpiechute.example.toml");
    let policy = policy(text, &constraints(false));
    assert_eq!(policy.resolve(&REPORT_REQUEST).max_attempts, Some(2));
}
