//! Tests of converting start times after a wall clock step.

use super::WallClockStep;
use crate::decision::{EngineEntry, ListUpdateKind, Millis};
use crate::node_config::{EndpointListEvent, EngineRecord};
use rstest::rstest;

const HOUR_MS: Millis = 3_600_000.0;
const NOW_MS: Millis = 1_796_200_000_000.0;

fn adjusted_start_ms(step: WallClockStep, started_at_ms: Millis) -> Millis {
    let entry = EngineEntry {
        started_at_ms,
        ..EngineEntry::default()
    };
    let address = ([127, 0, 0, 1], 9).into();
    let mut event = EndpointListEvent {
        number: 1,
        kind: ListUpdateKind::Delta,
        records: vec![EngineRecord { entry, address }],
        unusable_engines: Vec::new(),
    };
    step.adjust(&mut event, NOW_MS);
    event.records[0].entry.started_at_ms
}

/// The start time of an engine that started one second ago converts to one second ago, whether the
/// wall clock was stepped back or ahead, and before or after the engine's start.
#[rstest]
#[case::no_step(0.0, NOW_MS - 1000.0)]
#[case::back_before_the_start(-HOUR_MS, NOW_MS - HOUR_MS - 1000.0)]
#[case::back_after_the_start(-HOUR_MS, NOW_MS - 1000.0)]
#[case::ahead_before_the_start(HOUR_MS, NOW_MS + HOUR_MS - 1000.0)]
#[case::ahead_after_the_start(HOUR_MS, NOW_MS - 1000.0)]
#[case::seconds_back(-5000.0, NOW_MS - 6000.0)]
#[case::seconds_ahead(5000.0, NOW_MS + 4000.0)]
fn an_engine_started_one_second_ago_keeps_its_start_across_a_clock_step(
    #[case] ahead_ms: Millis,
    #[case] listed_ms: Millis,
) {
    let mut step = WallClockStep::default();
    step.observe(ahead_ms);
    assert_eq!(adjusted_start_ms(step, listed_ms), NOW_MS - 1000.0);
}

#[test]
fn readings_within_the_tolerance_leave_start_times_unchanged() {
    let mut step = WallClockStep::default();
    step.observe(0.3);
    step.observe(-0.2);
    assert_eq!(adjusted_start_ms(step, NOW_MS + 0.25), NOW_MS + 0.25);
    step.observe(HOUR_MS);
    let first = adjusted_start_ms(step, NOW_MS + HOUR_MS - 1.0);
    step.observe(HOUR_MS + 0.4);
    assert_eq!(adjusted_start_ms(step, NOW_MS + HOUR_MS - 1.0), first);
}

#[test]
fn a_start_time_of_zero_is_not_adjusted() {
    let mut step = WallClockStep::default();
    step.observe(-HOUR_MS);
    assert_eq!(adjusted_start_ms(step, 0.0), 0.0);
}
