//! The mechanism as the design page has it, seen through events and actions.

mod common;
use common::*;
use workload_manager::*;

/// Runs `n` queries through, each with the engine reporting full business, so that the bound binds.
fn busy(rig: &mut Rig, engine: EngineId) {
    for _ in 0..20 {
        let report = LoadReport {
            cpu_busy: Some(1.0),
            ..LoadReport::default()
        };
        rig.event(Event::HealthCheckEnded {
            engine,
            outcome: Outcome::Ok,
            elapsed_ms: 1.0,
            load_report: report,
        });
    }
}

#[test]
fn the_bound_starts_at_twice_the_share_of_cores_and_binds_under_pressure() {
    let mut rig = Rig::new(
        Settings {
            instances: 2,
            ..settings(vec![class(1, 9000.0, 1.0)])
        },
        1,
    );
    busy(&mut rig, engine(0));
    let sent: usize = (0..30)
        .map(|id| all_sent(&rig.request(id, 0, 0)).len())
        .sum();
    assert_eq!(sent, 8, "2 threads a core x 8 cores / 2 gateways");
}

#[test]
fn the_bound_holds_at_least_one_query_of_the_widest_class() {
    let wide = class(7, 9000.0, 1.0);
    let mut rig = Rig::new(
        Settings {
            instances: 16,
            ..settings(vec![wide])
        },
        1,
    );
    busy(&mut rig, engine(0));
    assert!(sent(&rig.request(1, 0, 0), 1).is_some());
    assert!(sent(&rig.request(2, 0, 0), 2).is_none());
}

/// At size a gateway's share of an engine is a part of a thread: all reported threads are held under all bounds.
#[test]
fn where_the_share_is_less_than_a_query_reported_threads_are_held_under_all_bounds() {
    let play = |held: f64| {
        let mut rig = Rig::new(
            Settings {
                instances: 250,
                ..settings(vec![class(1, 9000.0, 1.0)])
            },
            2,
        );
        for n in 0..60 {
            let report = LoadReport {
                inflight: Some(held),
                cpu_busy: Some(1.0),
                ..LoadReport::default()
            };
            rig.event(Event::HealthCheckEnded {
                engine: engine(n % 2),
                outcome: Outcome::Ok,
                elapsed_ms: 1.0,
                load_report: report,
            });
        }
        all_sent(&rig.request(1, 0, 0)).len() + all_sent(&rig.request(2, 0, 0)).len()
    };
    assert_eq!(play(10.0), 2, "under two threads a core");
    assert_eq!(
        play(20.0),
        1,
        "over: one of its own at a time, which brings news"
    );
}

#[test]
fn a_refusal_as_full_is_pressure_and_the_retry_keeps_its_age() {
    let mut rig = Rig::new(settings(vec![class(1, 9000.0, 1.0)]), 1);
    rig.request(1, 0, 0);
    assert!(
        all_sent(&rig.ended(1, 0, engine(0), Outcome::Rejected)).is_empty(),
        "shut for a moment"
    );
    assert!(
        all_sent(&rig.request(2, 0, 0)).is_empty(),
        "the newer waits too"
    );
    assert!(
        all_sent(&rig.tick(400.0)).is_empty(),
        "the pause is half a second"
    );
    assert_eq!(all_sent(&rig.tick(100.0)), vec![1, 2]);
    rig.ended(2, 0, engine(0), Outcome::Rejected);
    assert!(
        all_sent(&rig.tick(900.0)).is_empty(),
        "and longer the next time"
    );
    assert_eq!(all_sent(&rig.tick(100.0)), vec![2]);
    rig.ended(2, 1, engine(0), Outcome::Ok);
    rig.request(3, 0, 0);
    rig.ended(3, 0, engine(0), Outcome::Rejected);
    assert_eq!(all_sent(&rig.tick(500.0)), vec![3], "until it serves again");
}

#[test]
fn waiters_leave_oldest_first_and_the_head_holds_the_line() {
    let (small, wide) = (class(1, 9000.0, 1.0), class(4, 9000.0, 4.0));
    let mut rig = Rig::new(settings(vec![small, wide]), 1);
    busy(&mut rig, engine(0));
    for id in 0..14 {
        assert!(sent(&rig.request_with(id, 0, 0, 20_000.0, Some(300.0)), id).is_some());
    }
    assert!(
        all_sent(&rig.request_with(20, 1, 0, 20_000.0, Some(300.0))).is_empty(),
        "4 do not fit beside 14 of 16"
    );
    assert!(
        all_sent(&rig.request_with(21, 0, 0, 20_000.0, Some(300.0))).is_empty(),
        "1 would, but the head holds"
    );
    assert!(all_sent(&rig.ended(0, 0, engine(0), Outcome::Ok)).is_empty());
    assert_eq!(all_sent(&rig.ended(1, 0, engine(0), Outcome::Ok)), vec![20]);
    assert_eq!(all_sent(&rig.ended(2, 0, engine(0), Outcome::Ok)), vec![21]);
}

#[test]
fn the_fitted_peak_moves_the_bound_within_its_clamps() {
    // An engine whose output peaks at one thread a core: the bound comes down from its start, to half at least.
    let mut rig = Rig::new(settings(vec![class(1, 60_000.0, 1.0)]), 1);
    let (mut id, mut running) = (0u32, Vec::new());
    for round in 0..40u32 {
        let level = 4 + (round * 5) % 12;
        let output = 10.0 - (f64::from(level) - 8.0).powi(2) * 0.1;
        let took = f64::from(level) * 300.0 / output;
        for _ in 0..75 {
            while running.len() < level as usize {
                let more = all_sent(&rig.request_with(id, 0, 0, 90_000.0, Some(300.0)));
                id += 1;
                if more.is_empty() {
                    break;
                }
                running.extend(more);
            }
            rig.now += took / f64::from(level);
            let done = running.remove(0);
            running.extend(all_sent(&rig.ended_after(
                done,
                0,
                engine(0),
                Outcome::Ok,
                took,
            )));
        }
    }
    busy(&mut rig, engine(0));
    while running.len() < 60 {
        let more = all_sent(&rig.request_with(id, 0, 0, 90_000.0, Some(300.0)));
        id += 1;
        if more.is_empty() {
            break;
        }
        running.extend(more);
    }
    assert!(
        (8..14).contains(&running.len()),
        "held {} of a start of 16",
        running.len()
    );
}

#[test]
fn same_events_give_the_same_actions() {
    let play = || {
        let mut rig = Rig::new(
            settings(vec![class(1, 500.0, 1.0), class(3, 2000.0, 8.0)]),
            5,
        );
        let mut all = Vec::new();
        for id in 0..300u32 {
            all.extend(rig.request(id, id as usize % 2, 0));
            all.extend(rig.tick(7.0));
            if id > 20 {
                all.extend(rig.ended(id - 20, 0, engine((id % 5) as u8), Outcome::Ok));
            }
        }
        all
    };
    assert_eq!(play(), play());
}

#[test]
fn settings_that_cannot_be_used_are_refused_with_a_type() {
    let new = |s: Settings| Dispatcher::new(s, 1).err();
    let impossible = |setting, value| Some(SettingsError::ImpossibleFigure { setting, value });
    assert_eq!(new(settings(vec![])), Some(SettingsError::NoClasses));
    let one = settings(vec![class(1, 100.0, 1.0)]);
    assert_eq!(
        new(Settings {
            instances: 0,
            ..one.clone()
        }),
        Some(SettingsError::NoInstances)
    );
    let none = Settings {
        classes: vec![class(0, 100.0, 1.0)],
        ..one.clone()
    };
    assert_eq!(new(none), impossible("threads", 0.0));
    let quotas = Settings {
        tenant_quotas_per_s: vec![3.0, f64::NAN],
        ..one.clone()
    };
    let error = new(quotas).expect("a quota that is not a number");
    assert!(
        matches!(error, SettingsError::ImpossibleFigure { setting: "tenant_quotas_per_s", value } if value.is_nan())
    );
    let notes = Settings {
        progress_interval_ms: -1.0,
        ..one.clone()
    };
    assert_eq!(new(notes), impossible("progress_interval_ms", -1.0));
    assert!(
        new(Settings {
            slow_start_ms: f64::NAN,
            ..one
        })
        .is_some()
    );
}

#[test]
fn unknown_and_repeated_things_are_ignored() {
    let mut rig = Rig::new(settings(vec![class(1, 1000.0, 1.0)]), 2);
    assert!(rig.ended(99, 0, engine(0), Outcome::Ok).is_empty());
    assert!(rig.event(Event::ClientDisconnected { id: 99 }).is_empty());
    assert!(
        rig.event(Event::PeerMessage { payload: vec![1] })
            .is_empty()
    );
    assert_eq!(
        rig.request(1, 9, 0),
        vec![Action::Fail { id: 1 }],
        "an unknown class is failed at once"
    );
    let at = sent(&rig.request_with(2, 0, 0, 9000.0, Some(f64::NAN)), 2).unwrap();
    assert!(
        rig.ended(2, 3, at, Outcome::Reset).is_empty(),
        "no such attempt"
    );
    assert!(
        rig.ended(2, 0, engine(9), Outcome::Reset).is_empty(),
        "no such engine"
    );
    assert!(rig.request(2, 0, 0).is_empty(), "a repeated id");
    rig.ended(2, 0, at, Outcome::Ok);
    assert!(
        rig.ended(2, 0, at, Outcome::Reset).is_empty(),
        "a repeated outcome"
    );
}
