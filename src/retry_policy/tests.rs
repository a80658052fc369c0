//! Tests of the retry policy: route resolution compared with a reference model, budgets, backoff
//! and latency quantiles.

use super::*;
use crate::decision::Outcome;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::sync::Arc;

fn policy_with(timeout_ms: Option<f64>, max_attempts: Option<u32>) -> AttemptPolicy {
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
    policy: AttemptPolicy,
) -> Route {
    let set = |positions: &[usize]| positions.iter().copied().collect::<BTreeSet<_>>();
    let matches = RouteMatch {
        class: class.map(set),
        member: member.map(set),
        ..RouteMatch::default()
    };
    Route {
        name: name.to_owned(),
        matches,
        policy,
    }
}

const REQUEST: RequestAttributes = RequestAttributes {
    class: 1,
    member: 2,
    frontend: FrontendKind::Platform,
    data_set: 17,
};

#[test]
fn each_key_is_resolved_from_the_most_specific_table_that_sets_it() {
    let default = AttemptPolicy {
        retry_on: Some(OutcomeSet::all()),
        ..policy_with(Some(9000.0), Some(6))
    };
    let classes = [None, Some(policy_with(Some(5000.0), None)), None];
    let routes = [
        route(
            "narrow",
            Some(&[1]),
            Some(&[2]),
            policy_with(Some(100.0), None),
        ),
        route("broad", Some(&[1]), None, policy_with(Some(700.0), Some(2))),
        route(
            "broader",
            Some(&[0, 1]),
            None,
            policy_with(Some(800.0), Some(3)),
        ),
        route(
            "elsewhere",
            Some(&[1]),
            Some(&[3]),
            policy_with(Some(1.0), Some(1)),
        ),
    ];
    let index = RouteIndex::new(&default, &classes, &routes).expect("no conflict");
    let resolved = index.resolve(&REQUEST);
    assert_eq!(
        (
            resolved.timeout_ms,
            resolved.max_attempts,
            resolved.retry_on
        ),
        (Some(100.0), Some(2), Some(OutcomeSet::all()))
    );
    assert_eq!(
        index
            .resolve(&RequestAttributes {
                class: 0,
                ..REQUEST
            })
            .max_attempts,
        Some(3)
    );
    assert_eq!(
        index
            .resolve(&RequestAttributes {
                class: 2,
                ..REQUEST
            })
            .timeout_ms,
        Some(9000.0)
    );
}

#[test]
fn conflicting_empty_or_too_many_routes_are_rejected_with_every_error() {
    let routes = [
        route(
            "by class",
            Some(&[1]),
            None,
            policy_with(Some(1.0), Some(4)),
        ),
        route(
            "by member",
            None,
            Some(&[2]),
            policy_with(Some(2.0), Some(4)),
        ),
        route("twin", Some(&[1]), None, policy_with(Some(3.0), None)),
        route("nothing", Some(&[]), None, AttemptPolicy::default()),
    ];
    let errors = RouteIndex::new(&AttemptPolicy::default(), &[], &routes).expect_err("conflicts");
    let conflict = |earlier: &str, later: &str| RouteError::Conflict {
        earlier: earlier.into(),
        later: later.into(),
        keys: vec!["timeout_ms"],
    };
    let expected = [
        RouteError::MatchesNothing {
            route: "nothing".into(),
        },
        conflict("by class", "by member"),
        conflict("by class", "twin"),
        conflict("by member", "twin"),
    ];
    assert_eq!(errors, expected);
    assert_eq!(
        errors[0].to_string(),
        "route \"nothing\" cannot match any request; list at least one value in each matcher"
    );
    assert_eq!(
        errors[1].to_string(),
        "routes \"by class\" and \"by member\" match some of the same requests and set different values \
         for timeout_ms; make one route narrower than the other"
    );
    // 1000 classes times 1000 members are 1,000,000 combinations.
    let many: Vec<usize> = (0..1000).collect();
    let routes = [route(
        "vast",
        Some(&many),
        Some(&many),
        AttemptPolicy::default(),
    )];
    let errors = RouteIndex::new(&AttemptPolicy::default(), &[], &routes).expect_err("too many");
    assert_eq!(
        errors,
        [RouteError::TooManyCombinations { count: 1_000_000 }]
    );
    assert_eq!(
        errors[0].to_string(),
        "routes list 1000000 combinations of matcher values, more than the limit of 262144; \
         remove some values"
    );
}

/// Number of cases of the property test.
const CASES: u32 = 3000;

/// The numbers of accepted and of rejected cases must each be greater than this.
const MIN_CASES_OF_EACH_KIND: u32 = 500;

/// Generates a matcher of one or two values, or `None`.
fn any_matcher<T: Clone + std::fmt::Debug + Ord + 'static>(
    value: impl Strategy<Value = T> + 'static,
) -> impl Strategy<Value = Option<BTreeSet<T>>> {
    prop::option::of(prop::collection::btree_set(value, 1..3))
}

fn any_frontend() -> impl Strategy<Value = FrontendKind> {
    prop_oneof![Just(FrontendKind::Platform), Just(FrontendKind::Flight)]
}

fn any_route() -> impl Strategy<Value = Route> {
    let matches = (
        any_matcher(0..3usize),
        any_matcher(0..3usize),
        any_matcher(any_frontend()),
        any_matcher(0..3u32),
    )
        .prop_map(|(class, member, frontend, data_set)| RouteMatch {
            class,
            member,
            frontend,
            data_set,
        });
    let timeout_ms = prop::option::of(0..2u32);
    let max_attempts = prop::option::of(0..2u32);
    (matches, timeout_ms, max_attempts).prop_map(|(matches, timeout_ms, max_attempts)| Route {
        name: String::new(),
        matches,
        policy: policy_with(timeout_ms.map(f64::from), max_attempts),
    })
}

fn any_request() -> impl Strategy<Value = RequestAttributes> {
    (0..3usize, 0..3usize, any_frontend(), 0..3u32).prop_map(
        |(class, member, frontend, data_set)| RequestAttributes {
            class,
            member,
            frontend,
            data_set,
        },
    )
}

/// The reference model: returns the policy of the most specific route that matches and sets a key.
/// A route is most specific if no other matching route that sets the key is strictly within it.
fn most_specific_policy(
    routes: &[Route],
    request: &RequestAttributes,
    sets_key: impl Fn(&AttemptPolicy) -> bool,
) -> Option<AttemptPolicy> {
    let this_request = RouteMatch {
        class: Some([request.class].into()),
        member: Some([request.member].into()),
        frontend: Some([request.frontend].into()),
        data_set: Some([request.data_set].into()),
    };
    let candidates: Vec<&Route> = routes
        .iter()
        .filter(|route| this_request.is_within(&route.matches))
        .filter(|route| sets_key(&route.policy))
        .collect();
    let is_most_specific = |route: &&&Route| {
        !candidates.iter().any(|other| {
            other.matches.is_within(&route.matches) && !route.matches.is_within(&other.matches)
        })
    };
    candidates
        .iter()
        .find(is_most_specific)
        .map(|route| route.policy.clone())
}

#[test]
fn index_resolves_each_key_as_the_reference_model_does_for_random_routes() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let (accepted, rejected) = (Cell::new(0), Cell::new(0));
    let cases = (prop::collection::vec(any_route(), 0..6), any_request());
    let result = runner.run(&cases, |(routes, request)| {
        let default = policy_with(Some(9.0), Some(9));
        let Ok(index) = RouteIndex::new(&default, &[None, None, None], &routes) else {
            rejected.set(rejected.get() + 1);
            return Ok(());
        };
        accepted.set(accepted.get() + 1);
        let resolved = index.resolve(&request);
        let timeout_ms =
            most_specific_policy(&routes, &request, |policy| policy.timeout_ms.is_some())
                .and_then(|policy| policy.timeout_ms);
        let max_attempts =
            most_specific_policy(&routes, &request, |policy| policy.max_attempts.is_some())
                .and_then(|policy| policy.max_attempts);
        prop_assert_eq!(resolved.timeout_ms, timeout_ms.or(Some(9.0)));
        prop_assert_eq!(resolved.max_attempts, max_attempts.or(Some(9)));
        Ok(())
    });
    result.unwrap_or_else(|failure| panic!("{failure}"));
    let (accepted, rejected) = (accepted.get(), rejected.get());
    assert!(
        accepted > MIN_CASES_OF_EACH_KIND && rejected > MIN_CASES_OF_EACH_KIND,
        "{accepted} accepted and {rejected} rejected: both kinds must be covered"
    );
}

/// Retries stay within the budget even if every first attempt fails, and idle time does not add to
/// the budget.
#[test]
fn retries_stay_within_the_budget_while_every_first_attempt_fails() {
    let budget = Budget::new(0.1, 3.0, 10_000.0);
    let mut usage = BudgetUsage::default();
    let (mut now, mut retry_times) = (100_000.0, Vec::new());
    for attempt in 0..60_000 {
        now += 1.0;
        usage.record_first_attempt(&budget, now);
        retry_times.extend(usage.try_record_retry(&budget, now).then_some(now));
        if attempt % 100 == 0 {
            let window_start = retry_times.partition_point(|time| *time <= now - 9_000.0);
            assert!(
                (retry_times.len() - window_start) as f64 <= 0.1 * 10_000.0 + 30.0,
                "{now}"
            );
        }
    }
    assert!(
        retry_times.len() > 5_000,
        "only {} retries were allowed in total",
        retry_times.len()
    );
    now += 3_600_000.0;
    let allowed = (0..100)
        .filter(|_| usage.try_record_retry(&budget, now))
        .count();
    assert_eq!(
        allowed, 30,
        "after an idle hour, only the minimum of one window is allowed"
    );
    assert!(
        !usage.try_record_retry(&budget, now - 5_000.0),
        "a clock that goes back must not add to the budget"
    );
}

#[test]
fn backoff_doubles_with_each_attempt_up_to_its_maximum() {
    let backoff = Backoff {
        base_ms: 20.0,
        max_ms: 100.0,
        jitter: 0.5,
    };
    let delays: Vec<f64> = (1..6)
        .map(|attempts_made| backoff.delay_before_retry_ms(attempts_made, 0.0))
        .collect();
    assert_eq!(delays, [20.0, 40.0, 80.0, 100.0, 100.0]);
    assert_eq!(
        (
            backoff.delay_before_retry_ms(2, 1.0),
            backoff.total_delay_ms(4)
        ),
        (20.0, 140.0)
    );
    assert!(backoff.delay_before_retry_ms(u16::MAX, 0.5).is_finite());
}

#[test]
fn retry_is_denied_by_outcome_attempt_limit_or_exhausted_budget_and_else_delayed() {
    let policy = AttemptPolicy {
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
        ..policy_with(None, Some(3))
    };
    let decide =
        |attempts_made, outcome, now| policy.retry_decision(attempts_made, outcome, now, 0.0);
    assert_eq!(decide(1, Outcome::Error, 0.0), RetryDecision::NotRetryable);
    assert_eq!(
        decide(1, Outcome::Cancelled, 0.0),
        RetryDecision::RetryAfter(10.0),
        "a cancelled attempt counts as timed out"
    );
    assert_eq!(
        decide(2, Outcome::Rejected, 5.0),
        RetryDecision::BudgetExhausted
    );
    assert_eq!(
        decide(2, Outcome::Rejected, 1100.0),
        RetryDecision::RetryAfter(20.0)
    );
    assert_eq!(
        decide(3, Outcome::Rejected, 9000.0),
        RetryDecision::NotRetryable
    );
    assert_eq!(
        AttemptPolicy::default().retry_decision(9, Outcome::Reset, 0.0, 0.0),
        RetryDecision::RetryAfter(0.0)
    );
    let may_have_run: Vec<&str> = OutcomeSet::all().names_that_may_have_run().collect();
    assert_eq!(may_have_run, ["reset", "error", "timed-out"]);
}

/// Quantiles are computed from recent attempts only, and not from too few samples.
#[test]
fn quantile_needs_enough_samples_and_drops_those_older_than_two_periods() {
    let mut latency = LatencyQuantiles::new(10_000.0);
    for elapsed_ms in 0..49 {
        latency.record(f64::from(elapsed_ms), 1000.0);
    }
    assert_eq!(latency.quantile(0.5, 1000.0), None, "too few samples");
    for elapsed_ms in 49..1000 {
        latency.record(f64::from(elapsed_ms), 2000.0);
    }
    let p95 = latency.quantile(0.95, 2000.0).expect("enough samples");
    assert!((940.0..960.0).contains(&p95), "{p95}");
    // The previous period is used until the new one has enough samples.
    latency.record(5.0, 12_000.0);
    assert_eq!(latency.quantile(0.95, 12_000.0), Some(p95));
    (0..60).for_each(|_| latency.record(5.0, 12_000.0));
    assert_eq!(latency.quantile(0.95, 12_000.0), Some(5.0));
    assert_eq!(
        latency.quantile(0.95, 90_000.0),
        None,
        "both periods are over"
    );
    latency.record(f64::NAN, 90_000.0);
    latency.record(-1.0, 90_000.0);
}
