//! Tests of policies: routes against a plain reading of the rule, budgets and back-off.

use super::routes::RouteError;
use super::*;
use crate::decision::Outcome;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeSet;
use std::sync::Arc;

fn keys(timeout_ms: Option<f64>, max_attempts: Option<u32>) -> AttemptPolicy {
    AttemptPolicy {
        timeout_ms,
        max_attempts,
        ..AttemptPolicy::default()
    }
}

fn route(
    name: &str,
    class: Option<&[usize]>,
    member: Option<&[usize]>,
    keys: AttemptPolicy,
) -> Route {
    let set = |all: &[usize]| all.iter().copied().collect::<BTreeSet<_>>();
    let matches = RouteMatch {
        class: class.map(set),
        member: member.map(set),
        ..RouteMatch::default()
    };
    Route {
        name: name.to_owned(),
        matches,
        policy: keys,
    }
}

const AT: RequestAttributes = RequestAttributes {
    class: 1,
    member: 2,
    frontend: FrontendKind::Platform,
    data_set: 17,
};

#[test]
fn key_by_key_from_the_default_to_the_narrowest_route() {
    let default = AttemptPolicy {
        retry_on: Some(OutcomeSet::all()),
        ..keys(Some(9000.0), Some(6))
    };
    let classes = [None, Some(keys(Some(5000.0), None)), None];
    let routes = [
        route("narrow", Some(&[1]), Some(&[2]), keys(Some(100.0), None)),
        route("broad", Some(&[1]), None, keys(Some(700.0), Some(2))),
        route("broader", Some(&[0, 1]), None, keys(Some(800.0), Some(3))),
        route(
            "elsewhere",
            Some(&[1]),
            Some(&[3]),
            keys(Some(1.0), Some(1)),
        ),
    ];
    let index = Routes::new(&default, &classes, &routes).expect("no fault");
    let held = index.resolve(&AT);
    assert_eq!(
        (held.timeout_ms, held.max_attempts, held.retry_on),
        (Some(100.0), Some(2), Some(OutcomeSet::all()))
    );
    assert_eq!(
        index
            .resolve(&RequestAttributes { class: 0, ..AT })
            .max_attempts,
        Some(3)
    );
    assert_eq!(
        index
            .resolve(&RequestAttributes { class: 2, ..AT })
            .timeout_ms,
        Some(9000.0)
    );
}

#[test]
fn all_faults_at_once() {
    let routes = [
        route("by class", Some(&[1]), None, keys(Some(1.0), Some(4))),
        route("by member", None, Some(&[2]), keys(Some(2.0), Some(4))),
        route("twin", Some(&[1]), None, keys(Some(3.0), None)),
        route("nothing", Some(&[]), None, AttemptPolicy::default()),
    ];
    let faults = Routes::new(&AttemptPolicy::default(), &[], &routes).expect_err("faults");
    let pair = |a: &str, b: &str| RouteError::Disagree(a.into(), b.into(), vec!["timeout_ms"]);
    let wanted = [
        RouteError::Empty("nothing".into()),
        pair("by class", "by member"),
        pair("by class", "twin"),
        pair("by member", "twin"),
    ];
    assert_eq!(faults, wanted);
    let text = faults[1].to_string();
    assert!(
        text.contains("\"by class\" and \"by member\"") && text.contains("timeout_ms"),
        "{text}"
    );
    // A thousand classes and members each are a million cells.
    let many: Vec<usize> = (0..1000).collect();
    let routes = [route(
        "vast",
        Some(&many),
        Some(&many),
        AttemptPolicy::default(),
    )];
    assert_eq!(
        Routes::new(&AttemptPolicy::default(), &[], &routes).expect_err("fault"),
        [RouteError::TooMany(1_000_000)]
    );
}

/// The index says what a plain reading of the rule says: of all routes that match, for each key, the one that sets it and
/// lies within all others that do.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn the_index_reads_as_the_rule() {
    fn some<T: Clone + std::fmt::Debug + Ord + 'static>(
        of: impl Strategy<Value = T> + 'static,
    ) -> impl Strategy<Value = Option<BTreeSet<T>>> {
        prop::option::of(prop::collection::btree_set(of, 1..3))
    }
    let front = || prop_oneof![Just(FrontendKind::Platform), Just(FrontendKind::Flight)];
    let matches = (
        some(0..3usize),
        some(0..3usize),
        some(front()),
        some(0..3u32),
    )
        .prop_map(|(class, member, front, data_set)| RouteMatch {
            class,
            member,
            frontend: front,
            data_set,
        });
    let route = (
        matches,
        prop::option::of(0..2u32),
        prop::option::of(0..2u32),
    )
        .prop_map(|(matches, a, b)| Route {
            name: String::new(),
            matches,
            policy: keys(a.map(f64::from), b),
        });
    let at =
        (0..3usize, 0..3usize, front(), 0..3u32).prop_map(|(class, member, front, data_set)| {
            RequestAttributes {
                class,
                member,
                frontend: front,
                data_set,
            }
        });
    let config = Config {
        cases: 3000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let (mut good, mut bad) = (0, 0);
    let tried = std::cell::RefCell::new((&mut good, &mut bad));
    let kept = runner.run(&(prop::collection::vec(route, 0..6), at), |(routes, at)| {
        let base = keys(Some(9.0), Some(9));
        let Ok(index) = Routes::new(&base, &[None, None, None], &routes) else {
            *tried.borrow_mut().1 += 1;
            return Ok(());
        };
        *tried.borrow_mut().0 += 1;
        let one = |set: BTreeSet<usize>| Some(set);
        let here = RouteMatch {
            class: one([at.class].into()),
            member: one([at.member].into()),
            frontend: Some([at.frontend].into()),
            data_set: Some([at.data_set].into()),
        };
        let mine: Vec<&Route> = routes
            .iter()
            .filter(|r| here.is_within(&r.matches))
            .collect();
        let narrowest = |sets: &dyn Fn(&Route) -> bool| {
            let all: Vec<&&Route> = mine.iter().filter(|r| sets(r)).collect();
            let inner = |r: &&&Route| {
                !all.iter()
                    .any(|o| o.matches.is_within(&r.matches) && !r.matches.is_within(&o.matches))
            };
            all.iter().find(|r| inner(r)).map(|r| r.policy.clone())
        };
        let held = index.resolve(&at);
        let timeout = narrowest(&|r| r.policy.timeout_ms.is_some()).and_then(|k| k.timeout_ms);
        let most = narrowest(&|r| r.policy.max_attempts.is_some()).and_then(|k| k.max_attempts);
        prop_assert_eq!(held.timeout_ms, timeout.or(Some(9.0)));
        prop_assert_eq!(held.max_attempts, most.or(Some(9)));
        Ok(())
    });
    kept.unwrap_or_else(|e| panic!("{e}"));
    assert!(
        good > 500 && bad > 500,
        "{good} and {bad}: both are to be seen"
    );
}

/// Guard: however many first attempts fail, further ones stay within the budget; and quiet times save nothing up.
#[test]
fn a_budget_bounds_a_storm() {
    let budget = Budget::new(0.1, 3.0, 10_000.0);
    let mut spent = BudgetUsage::default();
    let (mut now, mut last) = (100_000.0, Vec::new());
    for n in 0..60_000 {
        now += 1.0;
        spent.record_first_attempt(&budget, now);
        last.extend(spent.try_take(&budget, now).then_some(now));
        if n % 100 == 0 {
            let from = last.partition_point(|at| *at <= now - 9_000.0);
            assert!((last.len() - from) as f64 <= 0.1 * 10_000.0 + 30.0, "{now}");
        }
    }
    assert!(last.len() > 5_000, "and it is used: {}", last.len());
    now += 3_600_000.0;
    let free = (0..100).filter(|_| spent.try_take(&budget, now)).count();
    assert_eq!(
        free, 30,
        "an hour of quiet leaves the window's own and no more"
    );
    assert!(
        !spent.try_take(&budget, now - 5_000.0),
        "a clock that goes back gives nothing"
    );
}

#[test]
fn waits_double_up_to_their_bound() {
    let wait = Backoff {
        base_ms: 20.0,
        max_ms: 100.0,
        jitter: 0.5,
    };
    let all: Vec<f64> = (1..6).map(|made| wait.wait_ms(made, 0.0)).collect();
    assert_eq!(all, [20.0, 40.0, 80.0, 100.0, 100.0]);
    assert_eq!((wait.wait_ms(2, 1.0), wait.all_ms(4)), (20.0, 140.0));
    assert!(wait.wait_ms(u16::MAX, 0.5).is_finite());
}

#[test]
fn what_may_follow_an_end() {
    let held = AttemptPolicy {
        retry_on: Some(
            OutcomeSet::default()
                .with(Outcome::Rejected)
                .with(Outcome::TimedOut),
        ),
        budget: Some(Arc::new(Budget::new(0.0, 1.0, 1000.0))),
        backoff: Some(Backoff {
            base_ms: 10.0,
            max_ms: 90.0,
            jitter: 0.0,
        }),
        ..keys(None, Some(3))
    };
    let next = |made, end, now| held.retry_decision(made, end, now, 0.0);
    assert_eq!(next(1, Outcome::Error, 0.0), RetryDecision::NotRetryable);
    assert_eq!(
        next(1, Outcome::Cancelled, 0.0),
        RetryDecision::RetryAfter(10.0),
        "what took too long counts as timed out"
    );
    assert_eq!(
        next(2, Outcome::Rejected, 5.0),
        RetryDecision::BudgetExhausted
    );
    assert_eq!(
        next(2, Outcome::Rejected, 1100.0),
        RetryDecision::RetryAfter(20.0)
    );
    assert_eq!(
        next(3, Outcome::Rejected, 9000.0),
        RetryDecision::NotRetryable
    );
    assert_eq!(
        AttemptPolicy::default().retry_decision(9, Outcome::Reset, 0.0, 0.0),
        RetryDecision::RetryAfter(0.0)
    );
    let ran: Vec<&str> = OutcomeSet::all().names_that_may_have_run().collect();
    assert_eq!(ran, ["reset", "error", "timed-out"]);
}

/// Guard: what a class usually takes follows the present: a slow hour is forgotten, and few attempts say nothing.
#[test]
fn usual_times_fade() {
    let mut usual = Latency::new(10_000.0);
    for n in 0..49 {
        usual.record(f64::from(n), 1000.0);
    }
    assert_eq!(usual.quantile(0.5, 1000.0), None, "too few");
    for n in 49..1000 {
        usual.record(f64::from(n), 2000.0);
    }
    let p95 = usual.quantile(0.95, 2000.0).expect("enough");
    assert!((940.0..960.0).contains(&p95), "{p95}");
    // A new period stands in for the old one once it has enough.
    usual.record(5.0, 12_000.0);
    assert_eq!(usual.quantile(0.95, 12_000.0), Some(p95));
    (0..60).for_each(|_| usual.record(5.0, 12_000.0));
    assert_eq!(usual.quantile(0.95, 12_000.0), Some(5.0));
    assert_eq!(usual.quantile(0.95, 90_000.0), None, "long ago");
    usual.record(f64::NAN, 90_000.0);
    usual.record(-1.0, 90_000.0);
}
