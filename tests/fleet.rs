//! Tests of a fleet of many managers that use the same engines. They check decisions that are
//! harmless when one manager makes them and harmful when all managers make them.

mod common;
use common::*;
use workload_manager::*;

/// Number of managers in a large fleet.
const FLEET_SIZE: u32 = 100;

/// Starts the dispatchers of all managers of a fleet. Each manager has its own ordinal and seed.
fn start_fleet(instances: u32, classes: &[Class]) -> Vec<TestBench> {
    let start_manager = |ordinal: u32| {
        let fleet_settings = Settings {
            instances,
            ordinal,
            ..settings(classes.to_vec())
        };
        let seed = u64::from(ordinal) * 7919 + 3;
        let mut bench = TestBench {
            dispatcher: Dispatcher::new(fleet_settings, seed).expect("settings"),
            now: 1000.0,
        };
        bench.handle_event(Event::Started);
        bench
    };
    (0..instances).map(start_manager).collect()
}

/// Work in ms that is sent within the window that begins at `from_ms`. `sends` has the time and the
/// work of each query, both in ms.
fn work_sent_in_window(sends: &[(f64, f64)], from_ms: f64, window_ms: f64) -> f64 {
    sends
        .iter()
        .filter(|(sent_at_ms, _)| (from_ms..from_ms + window_ms).contains(sent_at_ms))
        .map(|(_, work_ms)| work_ms)
        .sum()
}

/// The sum of the work that many managers send to an engine in slow start stays below its overload
/// bound. The managers also use at least a quarter of that bound, so that the engine warms up.
#[test]
fn light_queries_use_but_do_not_exceed_the_slow_start_budget() {
    let window_ms = 1000.0;
    let mut sends = Vec::new();
    for bench in &mut start_fleet(250, &[class(1, 400.0, 1.0)]) {
        bench.update_list(vec![entry(0, EngineState::Ready, 1000.0)]);
        for id in 0..40u32 {
            bench.now += 200.0;
            for id in sent_request_ids(&bench.request_with(id, 0, 0, 3000.0, Some(200.0))) {
                sends.push((bench.now, 200.0));
                bench.end_attempt_after(id, 0, engine(0), Outcome::Ok, 5.0);
            }
        }
    }
    for step in 0..60 {
        let from_ms = 1000.0 + f64::from(step) * 100.0;
        let elapsed_share = (from_ms - 1000.0) / 10_000.0;
        let capacity_cores = 8.0 * (0.3 + 0.7 * elapsed_share * elapsed_share);
        let sent_ms = work_sent_in_window(&sends, from_ms, window_ms);
        assert!(
            sent_ms < 2.0 * capacity_cores * window_ms,
            "window from {from_ms} ms: {sent_ms} ms of work sent"
        );
    }
    let sent_ms = work_sent_in_window(&sends, 2000.0, window_ms);
    assert!(
        sent_ms > 0.25 * 2.0 * 0.3 * 8.0 * window_ms,
        "only {sent_ms} ms of work sent"
    );
}

/// Guards against engines that stay idle during their slow start. When six in ten engines were
/// replaced, no query larger than one manager's part of the slow-start budget was sent to a new
/// engine. The old engines were overloaded while eighteen new ones were idle. The managers take
/// turns to send such queries: together they keep the budget in every window, and use at least a
/// quarter of it.
#[test]
fn heavy_queries_use_but_do_not_exceed_the_slow_start_budget() {
    let (work_ms, window_ms, budget_ms) = (600.0, 1000.0, 2.0 * 0.3 * 8.0 * 1000.0);
    let mut sends = Vec::new();
    for (ordinal, bench) in start_fleet(FLEET_SIZE, &[class(3, 1500.0, 1.0)])
        .iter_mut()
        .enumerate()
    {
        bench.update_list(vec![entry(0, EngineState::Ready, 1000.0)]);
        bench.now += ordinal as f64 * 2.0;
        for id in 0..40 {
            bench.now += 100.0;
            let mut actions = bench.tick(0.0);
            actions.extend(bench.request_with(id, 0, 0, 4000.0, Some(work_ms)));
            for id in sent_request_ids(&actions) {
                sends.push((bench.now, work_ms));
                bench.end_attempt_after(id, 0, engine(0), Outcome::Ok, 5.0);
            }
        }
    }
    for step in 0..50 {
        let from_ms = 1000.0 + f64::from(step) * 50.0;
        let sent_ms = work_sent_in_window(&sends, from_ms, window_ms);
        assert!(
            sent_ms < budget_ms,
            "window from {from_ms} ms: {sent_ms} of {budget_ms} ms of work sent"
        );
    }
    let sent_ms = work_sent_in_window(&sends, 1500.0, 2.0 * window_ms) / 2.0;
    assert!(
        sent_ms > 0.25 * budget_ms,
        "only {sent_ms} of {budget_ms} ms of work sent per window"
    );
}

/// The slow-start budget counts a light query of a heavy class by the query's estimated work, not
/// by the mean work of the class.
#[test]
fn light_query_of_a_heavy_class_is_within_the_slow_start_budget() {
    // Without measurements, the mean work of this class is 9,000 ms.
    let mut bench = TestBench::new(settings(vec![class(3, 6000.0, 1.0)]), 0);
    bench.update_list(vec![entry(0, EngineState::Ready, bench.now)]);
    assert_eq!(
        sent_to(&bench.request_with(1, 0, 0, 9000.0, Some(300.0)), 1),
        Some(engine(0))
    );
    assert_eq!(
        sent_to(&bench.request_with(2, 0, 0, 9000.0, Some(9000.0)), 2),
        None
    );
}

/// The fleet's mean load, which the older engines report, does not count for an engine that has
/// just started.
#[test]
fn engine_that_just_started_is_not_treated_as_crowded() {
    let mut bench = TestBench::new(
        Settings {
            instances: 2,
            ..settings(vec![class(1, 1000.0, 1.0)])
        },
        3,
    );
    for id in 0..60 {
        bench.now += 20.0;
        let target = sent_to(&bench.request(id, 0, 0), id).expect("an engine");
        let report = LoadReport {
            inflight: Some(60.0),
            ..LoadReport::default()
        };
        bench.handle_event(served_event(
            id,
            target,
            150.0,
            measured(100.0, 8.0),
            report,
        ));
    }
    bench.update_list(vec![entry(4, EngineState::Ready, bench.now - 500.0)]);
    let targets =
        (90..96).map(|id| sent_to(&bench.request_with(id, 0, 0, 9000.0, Some(100.0)), id));
    assert_eq!(targets.collect::<Vec<_>>(), vec![Some(engine(4)); 6]);
}

/// Load reports come with answers, and engines that have just started answer soonest. Three engines
/// with six queries per core are overloaded while twelve engines that warm up answer small queries
/// immediately. Reports of the latter must not hide the overload: an engine without a recent report
/// counts as crowded as the warm engines that have reported.
#[test]
fn answers_of_engines_that_warm_up_do_not_hide_crowded_ones() {
    let classes = vec![class(1, 1000.0, 1.0), class(3, 1000.0, 20.0)];
    let mut bench = TestBench::new(
        Settings {
            instances: FLEET_SIZE,
            ..settings(classes)
        },
        3,
    );
    let mut sent_to_new = 0;
    for id in 0..240 {
        if id == 40 {
            bench.update_list(
                (3..15)
                    .map(|n| entry(n, EngineState::Ready, bench.now - 500.0))
                    .collect(),
            );
        }
        bench.now += 25.0;
        let target =
            sent_to(&bench.request_with(id, 0, 0, 4000.0, Some(5.0)), id).expect("an engine");
        let is_warming_up = target.addr[3] >= 3;
        sent_to_new += u32::from(is_warming_up);
        let (elapsed_ms, inflight) = if is_warming_up {
            (6.0, 1.0)
        } else {
            (30.0, 48.0)
        };
        let report = LoadReport {
            inflight: Some(inflight),
            ..LoadReport::default()
        };
        bench.handle_event(served_event(
            id,
            target,
            elapsed_ms,
            measured(5.0, 8.0),
            report,
        ));
    }
    assert!(
        sent_to_new > 150,
        "{sent_to_new} of 240 requests sent to engines that warm up"
    );
    // One heavy query per engine may be sent, as its answer brings a new load report. The engines
    // have no free capacity for further ones, which must not pile up there.
    let pending = (300..310).map(|id| bench.request_with(id, 1, 0, 4000.0, Some(6000.0)));
    let sent_ids: Vec<u32> = pending
        .flat_map(|actions| sent_request_ids(&actions))
        .collect();
    assert!(
        sent_ids.len() <= 3,
        "{sent_ids:?} sent to overloaded engines"
    );
}

/// A manager with little traffic and 300 engines serves every class, for any number of managers in
/// its settings. Six in ten engines are replaced at the same time by engines that warm up, and no
/// request is rejected.
#[test]
fn every_class_is_served_by_one_manager_and_by_one_of_a_thousand() {
    let engine_id = |n: u16| EngineId {
        addr: [10, 0, (n >> 8) as u8, n as u8],
        port: 8000,
    };
    let list_entry = |n: u16, state, started_ms| EngineEntry {
        engine: engine_id(n),
        ..entry(n as u8, state, started_ms)
    };
    for instances in [1, 350, 1024] {
        let classes = vec![class(1, 1000.0, 1.0), class(3, 5000.0, 20.0)];
        let mut bench = TestBench::new(
            Settings {
                instances,
                ..settings(classes)
            },
            0,
        );
        bench.update_list(
            (0..300)
                .map(|n| list_entry(n, EngineState::Ready, 0.0))
                .collect(),
        );
        let mut served_by_class = [0; 2];
        for id in 0..400u32 {
            if id == 200 {
                let old = (0..180).map(|n| list_entry(n, EngineState::Draining, 0.0));
                let new = (300..480).map(|n| list_entry(n, EngineState::Ready, bench.now));
                bench.update_list(old.chain(new).collect());
            }
            bench.now += 50.0;
            let (class_index, work_ms) = if id % 4 == 0 { (1, 900.0) } else { (0, 50.0) };
            let mut actions = bench.tick(0.0);
            actions.extend(bench.request_with(id, class_index, 0, 15_000.0, Some(work_ms)));
            let target = sent_to(&actions, id)
                .unwrap_or_else(|| panic!("{instances} managers: request {id} was not sent"));
            assert!(
                id < 200 || target.addr[3] >= 180 || target.addr[2] > 0,
                "request {id} is sent to a draining engine"
            );
            let report = LoadReport {
                inflight: Some(4.0),
                ..LoadReport::default()
            };
            bench.handle_event(served_event(
                id,
                target,
                work_ms,
                measured(work_ms, 8.0),
                report,
            ));
            served_by_class[class_index] += 1;
        }
        assert_eq!(served_by_class, [300, 100]);
    }
}
