//! What the soak tests share: the seeds of their runs, and the engines that they list.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// Time after SIGTERM at which the platform kills a process: the sum of the longest deadline, which
/// counts as 3 s, and 0.7 s.
pub(crate) const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);

/// Number of runs at the same time.
const PARALLEL_RUNS: usize = 4;

/// Runs each of the chosen seeds, some of them at the same time. `run` returns the violations of
/// the rules in the run of a seed.
///
/// The environment variable `variable` chooses the seeds, as `FIRST-LAST`; `default_range` is used
/// without it.
///
/// # Panics
///
/// If any run has violations.
pub(crate) fn run_seeds(
    variable: &str,
    default_range: &str,
    run: impl Fn(u64) -> Vec<String> + Sync,
) {
    let seeds = Mutex::new(chosen_seeds(variable, default_range));
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| {
                while let Some(seed) = next_seed(&seeds) {
                    let violations = run(seed).into_iter();
                    let violations =
                        violations.map(|violation| format!("seed {seed}: {violation}"));
                    failures.lock().expect("failures").extend(violations);
                }
            });
        }
    });
    let failures = failures.into_inner().expect("failures");
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Takes the next seed to run.
fn next_seed(seeds: &Mutex<Vec<u64>>) -> Option<u64> {
    seeds.lock().expect("seeds").pop()
}

/// The chosen seeds in descending order. [`next_seed`] takes the last one, which is the lowest.
fn chosen_seeds(variable: &str, default_range: &str) -> Vec<u64> {
    let range = std::env::var(variable).unwrap_or_else(|_| default_range.to_owned());
    let (first, last) = range
        .split_once('-')
        .expect("the seeds have the form FIRST-LAST");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    (number(first)..=number(last)).rev().collect()
}

/// The event that lists engines at these addresses as ready and warm.
pub(crate) fn ready_engines_event(engines: &[SocketAddr]) -> String {
    let record = |(number, address): (usize, &SocketAddr)| {
        format!(
            r#"{{"instanceId":"s-{:08x}","hostPort":"{address}","zone":"hall-a","machineType":"std-8c","cell":0,
            "lifecycle":"active","weight":1,"startedAtMs":0}}"#,
            number + 1
        )
    };
    let records: Vec<String> = engines.iter().enumerate().map(record).collect();
    format!(
        r#"{{"n":1,"members":{{"generation":1,"reset":true,"instances":[{}]}}}}"#,
        records.join(",")
    )
}
