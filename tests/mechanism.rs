//! Tests of the dispatcher's mechanisms that `docs/design.md` describes, through events and
//! actions.

mod common;
use common::*;
use workload_manager::*;

/// Sends load reports in which all cores of an engine are busy, so that the concurrency limit
/// binds.
fn report_all_cores_busy(bench: &mut TestBench, engine: EngineId) {
    for _ in 0..20 {
        let report = LoadReport {
            cpu_busy: Some(1.0),
            ..LoadReport::default()
        };
        bench.handle_event(Event::HealthCheckEnded {
            engine,
            outcome: Outcome::Ok,
            elapsed_ms: 1.0,
            load_report: report,
        });
    }
}

#[test]
fn limit_starts_at_twice_the_share_of_cores_and_binds_under_pressure() {
    let mut bench = TestBench::new(
        Settings {
            instances: 2,
            ..settings(vec![class(1, 9000.0, 1.0)])
        },
        1,
    );
    report_all_cores_busy(&mut bench, engine(0));
    let sent: usize = (0..30)
        .map(|id| sent_request_ids(&bench.request(id, 0, 0)).len())
        .sum();
    assert_eq!(sent, 8, "2 threads per core x 8 cores / 2 managers");
}

#[test]
fn limit_allows_at_least_one_query_of_the_widest_class() {
    let wide = class(7, 9000.0, 1.0);
    let mut bench = TestBench::new(
        Settings {
            instances: 16,
            ..settings(vec![wide])
        },
        1,
    );
    report_all_cores_busy(&mut bench, engine(0));
    assert!(sent_to(&bench.request(1, 0, 0), 1).is_some());
    assert!(sent_to(&bench.request(2, 0, 0), 2).is_none());
}

/// With many managers, one manager's share of an engine is less than one thread. The reported
/// threads of all managers are then compared with the sum of all managers' limits.
#[test]
fn share_below_one_query_limits_the_reported_threads_of_all_managers() {
    let run = |reported_inflight: f64| {
        let mut bench = TestBench::new(
            Settings {
                instances: 250,
                ..settings(vec![class(1, 9000.0, 1.0)])
            },
            2,
        );
        for report_number in 0..60 {
            let report = LoadReport {
                inflight: Some(reported_inflight),
                cpu_busy: Some(1.0),
                ..LoadReport::default()
            };
            bench.handle_event(Event::HealthCheckEnded {
                engine: engine(report_number % 2),
                outcome: Outcome::Ok,
                elapsed_ms: 1.0,
                load_report: report,
            });
        }
        sent_request_ids(&bench.request(1, 0, 0)).len()
            + sent_request_ids(&bench.request(2, 0, 0)).len()
    };
    assert_eq!(
        run(10.0),
        2,
        "below two threads per core both requests are sent"
    );
    assert_eq!(
        run(20.0),
        1,
        "above two threads per core one request at a time is sent, whose answer brings a new report"
    );
}

#[test]
fn rejection_ejects_the_engine_and_the_retry_keeps_its_queue_position() {
    let mut bench = TestBench::new(settings(vec![class(1, 9000.0, 1.0)]), 1);
    bench.request(1, 0, 0);
    assert!(
        sent_request_ids(&bench.end_attempt(1, 0, engine(0), Outcome::Rejected)).is_empty(),
        "a rejection pauses the engine"
    );
    assert!(
        sent_request_ids(&bench.request(2, 0, 0)).is_empty(),
        "a newer request waits too"
    );
    assert!(
        sent_request_ids(&bench.tick(400.0)).is_empty(),
        "the first pause is half a second"
    );
    assert_eq!(sent_request_ids(&bench.tick(100.0)), vec![1, 2]);
    bench.end_attempt(2, 0, engine(0), Outcome::Rejected);
    assert!(
        sent_request_ids(&bench.tick(900.0)).is_empty(),
        "the second pause is longer"
    );
    assert_eq!(sent_request_ids(&bench.tick(100.0)), vec![2]);
    bench.end_attempt(2, 1, engine(0), Outcome::Ok);
    bench.request(3, 0, 0);
    bench.end_attempt(3, 0, engine(0), Outcome::Rejected);
    assert_eq!(
        sent_request_ids(&bench.tick(500.0)),
        vec![3],
        "a served query resets the pause to half a second"
    );
}

#[test]
fn waiting_requests_are_sent_oldest_first_and_none_overtakes_the_oldest() {
    let (narrow, wide) = (class(1, 9000.0, 1.0), class(4, 9000.0, 4.0));
    let mut bench = TestBench::new(settings(vec![narrow, wide]), 1);
    report_all_cores_busy(&mut bench, engine(0));
    for id in 0..14 {
        assert!(sent_to(&bench.request_with(id, 0, 0, 20_000.0, Some(300.0)), id).is_some());
    }
    assert!(
        sent_request_ids(&bench.request_with(20, 1, 0, 20_000.0, Some(300.0))).is_empty(),
        "4 threads exceed the limit of 16 while 14 are in use"
    );
    assert!(
        sent_request_ids(&bench.request_with(21, 0, 0, 20_000.0, Some(300.0))).is_empty(),
        "1 thread would be within the limit, but the oldest request is sent first"
    );
    assert!(sent_request_ids(&bench.end_attempt(0, 0, engine(0), Outcome::Ok)).is_empty());
    assert_eq!(
        sent_request_ids(&bench.end_attempt(1, 0, engine(0), Outcome::Ok)),
        vec![20]
    );
    assert_eq!(
        sent_request_ids(&bench.end_attempt(2, 0, engine(0), Outcome::Ok)),
        vec![21]
    );
}

#[test]
fn fitted_peak_moves_the_limit_within_its_bounds() {
    // The engine's throughput peaks at one thread per core, so the limit falls from its initial
    // value of 16, but not below half of it.
    let mut bench = TestBench::new(settings(vec![class(1, 60_000.0, 1.0)]), 1);
    let (mut id, mut running) = (0u32, Vec::new());
    for round in 0..40u32 {
        let concurrency = 4 + (round * 5) % 12;
        let throughput = 10.0 - (f64::from(concurrency) - 8.0).powi(2) * 0.1;
        let latency_ms = f64::from(concurrency) * 300.0 / throughput;
        for _ in 0..75 {
            while running.len() < concurrency as usize {
                let sent_ids =
                    sent_request_ids(&bench.request_with(id, 0, 0, 90_000.0, Some(300.0)));
                id += 1;
                if sent_ids.is_empty() {
                    break;
                }
                running.extend(sent_ids);
            }
            bench.now += latency_ms / f64::from(concurrency);
            let ended_id = running.remove(0);
            running.extend(sent_request_ids(&bench.end_attempt_after(
                ended_id,
                0,
                engine(0),
                Outcome::Ok,
                latency_ms,
            )));
        }
    }
    report_all_cores_busy(&mut bench, engine(0));
    while running.len() < 60 {
        let sent_ids = sent_request_ids(&bench.request_with(id, 0, 0, 90_000.0, Some(300.0)));
        id += 1;
        if sent_ids.is_empty() {
            break;
        }
        running.extend(sent_ids);
    }
    assert!(
        (8..14).contains(&running.len()),
        "{} attempts in flight, with an initial limit of 16",
        running.len()
    );
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut bench = TestBench::new(
            settings(vec![class(1, 500.0, 1.0), class(3, 2000.0, 8.0)]),
            5,
        );
        let mut all = Vec::new();
        for id in 0..300u32 {
            all.extend(bench.request(id, id as usize % 2, 0));
            all.extend(bench.tick(7.0));
            if id > 20 {
                all.extend(bench.end_attempt(id - 20, 0, engine((id % 5) as u8), Outcome::Ok));
            }
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn settings_out_of_range_are_rejected_with_the_setting_and_its_value() {
    let error_of = |invalid_settings: Settings| Dispatcher::new(invalid_settings, 1).err();
    let out_of_range = |setting, value| Some(SettingsError::ValueOutOfRange { setting, value });
    assert_eq!(error_of(settings(vec![])), Some(SettingsError::NoClasses));
    let valid = settings(vec![class(1, 100.0, 1.0)]);
    assert_eq!(
        error_of(Settings {
            instances: 0,
            ..valid.clone()
        }),
        Some(SettingsError::NoInstances)
    );
    let no_threads = Settings {
        classes: vec![class(0, 100.0, 1.0)],
        ..valid.clone()
    };
    assert_eq!(error_of(no_threads), out_of_range("threads", 0.0));
    let quotas = Settings {
        tenant_quotas_per_s: vec![3.0, f64::NAN],
        ..valid.clone()
    };
    let error = error_of(quotas).expect("a quota that is not a number");
    assert!(
        matches!(error, SettingsError::ValueOutOfRange { setting: "tenant_quotas_per_s", value } if value.is_nan())
    );
    let negative_interval = Settings {
        progress_interval_ms: -1.0,
        ..valid.clone()
    };
    assert_eq!(
        error_of(negative_interval),
        out_of_range("progress_interval_ms", -1.0)
    );
    assert!(
        error_of(Settings {
            slow_start_ms: f64::NAN,
            ..valid
        })
        .is_some()
    );
}

#[test]
fn unknown_and_repeated_ids_are_ignored() {
    let mut bench = TestBench::new(settings(vec![class(1, 1000.0, 1.0)]), 2);
    assert!(bench.end_attempt(99, 0, engine(0), Outcome::Ok).is_empty());
    assert!(
        bench
            .handle_event(Event::ClientDisconnected { id: 99 })
            .is_empty()
    );
    assert!(
        bench
            .handle_event(Event::PeerMessage { payload: vec![1] })
            .is_empty()
    );
    assert_eq!(
        bench.request(1, 9, 0),
        vec![Action::Fail {
            id: 1,
            reason: EndReason::UnknownClass
        }],
        "a request of an unknown class fails at once"
    );
    let engine_id = sent_to(&bench.request_with(2, 0, 0, 9000.0, Some(f64::NAN)), 2).unwrap();
    assert!(
        bench
            .end_attempt(2, 3, engine_id, Outcome::Reset)
            .is_empty(),
        "an unknown attempt is ignored"
    );
    assert!(
        bench
            .end_attempt(2, 0, engine(9), Outcome::Reset)
            .is_empty(),
        "an outcome from another engine is ignored"
    );
    assert!(
        bench.request(2, 0, 0).is_empty(),
        "a request with a repeated id is ignored"
    );
    bench.end_attempt(2, 0, engine_id, Outcome::Ok);
    assert!(
        bench
            .end_attempt(2, 0, engine_id, Outcome::Reset)
            .is_empty(),
        "a repeated outcome is ignored"
    );
}
