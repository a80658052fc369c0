//! Tests of the operators' file: what a sound file sets, every fault with its line, and files that cannot be read.

use super::*;
use crate::decision::Outcome;
use crate::retry_policy::{FrontendKind, OutcomeSet, RequestAttributes};

fn known(parallel_tries: bool) -> PlatformConstraints {
    let class = |name: &str, once| ClassConstraints {
        name: name.to_owned(),
        not_idempotent: once,
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
        parallel_attempts_allowed: parallel_tries,
    }
}

const GOOD: &str = r#"version = 1

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

const AT: RequestAttributes = RequestAttributes {
    class: 1,
    member: 0,
    frontend: FrontendKind::Flight,
    data_set: 17,
};

fn faults(text: &str, known: &PlatformConstraints) -> Vec<Fault> {
    parse_and_check(text, Some(known)).err().unwrap_or_default()
}

fn policy(text: &str, known: &PlatformConstraints) -> crate::retry_policy::Policy {
    parse_and_check(text, Some(known))
        .expect("sound")
        .1
        .expect("a policy")
}

#[test]
fn each_key_of_a_sound_file_comes_from_its_narrowest_table() {
    let policy = policy(GOOD, &known(true));
    let held = policy.resolve(&AT);
    assert_eq!(
        (held.attempt_timeout_ms, held.max_attempts, held.timeout_ms),
        (Some(4000.0), Some(2), Some(9000.0))
    );
    let elsewhere = policy.resolve(&RequestAttributes {
        frontend: FrontendKind::Platform,
        ..AT
    });
    assert_eq!(elsewhere.max_attempts, Some(3));
    // The default's copies and ends that may have run do not reach a class that runs once.
    let load = policy.resolve(&RequestAttributes { class: 2, ..AT });
    assert_eq!(load.hedging, None);
    let never = OutcomeSet::default()
        .with(Outcome::NoConnection)
        .with(Outcome::Rejected)
        .with(Outcome::NotSent);
    assert_eq!(load.retry_on, Some(never));
    let explained = policy.explain(&AT);
    let from = |key: &str| {
        explained
            .iter()
            .find(|s| s.key == key)
            .map(|s| (s.value.clone(), s.from.clone()))
    };
    assert_eq!(
        from("max_attempts"),
        Some(("2".into(), "route north-reports".into()))
    );
    assert_eq!(
        from("attempt_timeout_ms"),
        Some(("4000".into(), "class usage-report".into()))
    );
    assert_eq!(from("timeout_ms"), Some(("9000".into(), "default".into())));
}

#[test]
fn an_empty_file_sets_no_policy() {
    let policy = policy("version = 1\n", &known(false));
    assert!(policy.is_empty());
    assert_eq!(
        policy.resolve(&AT),
        crate::retry_policy::AttemptPolicy::default()
    );
}

/// Every fault of the issue's list at once, each with its line, in the order of the file.
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
    let all = faults(text, &known(false));
    let seen: Vec<(Option<usize>, &str)> = all.iter().map(|f| (f.line, f.key.as_str())).collect();
    let wanted = [
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
    for want in wanted {
        assert!(seen.contains(&want), "{want:?} in {all:#?}");
    }
    let text_of = |key: &str| {
        all.iter()
            .filter(|f| f.key == key)
            .map(ToString::to_string)
            .collect::<Vec<_>>()
    };
    assert!(text_of("attempts.class.seat-chek")[0].contains("did you mean \"seat-check\""));
    let retry = text_of("attempts.class.log-load.retry_on").join("\n");
    assert!(
        retry.contains("\"errors\" is no end") && retry.contains("did you mean \"error\""),
        "{retry}"
    );
    assert!(text_of("attempts.route[1].match.front")[0].contains("did you mean \"flight\""));
    assert!(text_of("attempts.route[1].match.member")[0].contains("member-west"));
    // Garde's range and the file's own order hold whether the settings are known or not.
    let lines: Vec<usize> = all.iter().filter_map(|f| f.line).collect();
    assert!(lines.windows(2).all(|w| w[0] <= w[1]), "{lines:?}");
}

#[test]
fn contradictions_to_the_settings_are_faults() {
    // A copy where two attempts may be out, of a class that runs once; and back-off that outlasts the request.
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
    let all = faults(text, &known(true));
    let keys: Vec<&str> = all.iter().map(|f| f.key.as_str()).collect();
    assert_eq!(
        keys,
        [
            "attempts.class.log-load.second_copy",
            "attempts.class.seat-check.backoff",
            "attempts.route[0].retry_on"
        ]
    );
    assert!(all[0].problem.contains("may run once only"), "{}", all[0]);
    assert!(
        all[2].problem.contains("log-load") && all[2].problem.contains("reset"),
        "{}",
        all[2]
    );
    // Alone, the file is sound: these need the settings.
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
    let all = faults(text, &known(false));
    let shown: Vec<String> = all.iter().map(ToString::to_string).collect();
    assert!(
        shown
            .iter()
            .any(|s| s
                .starts_with("line 14: attempts.route[3].name: route \"by class\" is named twice")),
        "{shown:#?}"
    );
    // Names twice are a fault of the file alone; without it the routes are held against each other.
    let text = text.replace(
        "name = \"by class\"\nmatch = { front",
        "name = \"fourth\"\nmatch = { front",
    );
    let shown: Vec<String> = faults(&text, &known(false))
        .iter()
        .map(ToString::to_string)
        .collect();
    assert!(
        shown.iter().any(|s| s.starts_with("line 6:")
            && s.contains("\"by class\" and \"by member\"")
            && s.contains("timeout_ms")),
        "{shown:#?}"
    );
    assert!(
        shown.iter().any(
            |s| s.starts_with("line 10:") && s.contains("\"nothing\" cannot match any request")
        ),
        "{shown:#?}"
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
            "belongs to routes alone",
        ),
        (
            "version = 1\n[[attempts.route]]\nmatch = { class = [\"a\"] }\n",
            Some(2),
            "has no name",
        ),
        (
            "version = 1\n[attempts.default]\nbackoff = { base_ms = 9, max_ms = 1 }\n",
            Some(3),
            "above max_ms",
        ),
        (
            "version = 1\n[attempts.default]\nsecond_copy = { after = \"q9\", ratio = 0.1 }\n",
            Some(3),
            "no share",
        ),
        (
            "version = 1\n[attempts.default]\nbudget = { ratio = 2, window_s = 10 }\n",
            Some(3),
            "is greater than 1",
        ),
    ];
    for (text, line, what) in cases {
        let all = parse(text).expect_err(text);
        assert_eq!(all[0].line, line, "{text:?}: {all:?}");
        assert!(all[0].problem.contains(what), "{text:?}: {all:?}");
        assert!(!all[0].suggestion.is_empty());
    }
}

#[test]
fn unreadable_files_are_faults() {
    let dir = std::env::temp_dir().join(format!("magpiechute-file-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("folder");
    assert_eq!(read(&dir.join("none.toml")), Ok(None));
    assert!(read(&dir).expect_err("a folder").problem.contains("folder"));
    let big = dir.join("big.toml");
    std::fs::write(&big, vec![b'#'; (LARGEST + 1) as usize]).expect("write");
    assert!(
        read(&big)
            .expect_err("too large")
            .problem
            .contains("larger")
    );
    let bad = dir.join("bad.toml");
    std::fs::write(&bad, b"version = 1\n# \xff\n").expect("write");
    let fault = read(&bad).expect_err("not UTF-8");
    assert_eq!(
        (fault.line, fault.problem.contains("UTF-8")),
        (Some(2), true)
    );
    let good = dir.join("good.toml");
    std::fs::write(&good, GOOD).expect("write");
    assert_eq!(read(&good), Ok(Some(GOOD.to_owned())));
    std::fs::remove_dir_all(&dir).expect("clean");
}

#[test]
fn the_schema_in_deploy_is_the_one_that_the_program_prints() {
    let kept = include_str!("../../deploy/magpiechute.schema.json");
    assert_eq!(
        kept,
        schema(),
        "run `workload-manager schema > deploy/magpiechute.schema.json`"
    );
}

#[test]
fn hedging_that_this_version_does_not_carry_out_is_a_fault() {
    let text = "version = 1\n[attempts.class.seat-check]\nsecond_copy = { after = \"p95\", ratio = 0.05 }\n";
    let all = faults(text, &known(true));
    assert_eq!(all.len(), 1);
    assert!(
        all[0]
            .to_string()
            .starts_with("line 3: attempts.class.seat-check.second_copy: this version sends no")
    );
}

#[test]
fn the_example_in_deploy_has_no_faults() {
    let text = include_str!("../../deploy/magpiechute.example.toml");
    let policy = policy(text, &known(false));
    assert_eq!(policy.resolve(&AT).max_attempts, Some(2));
}
