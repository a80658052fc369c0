//! Runs the small case of each scale test. The assertions hold on a machine of any speed: they
//! check rows, counts and bytes, but no times.

#[allow(dead_code, reason = "the main function is called by the bench alone")]
#[path = "../benches/scale/main.rs"]
mod scale;

use scale::fit::{LinearFit, Point};
use scale::options::{Options, Test};
use scale::row::Output;

use serde_json::Value;

/// The result rows of the small case of one test.
fn small_case_rows(test: Test) -> Vec<Value> {
    let mut output = Output::new(None).expect("an output without a file");
    scale::run(&Options::small(&[test]), &mut output).expect("the test runs to its end");
    output
        .lines()
        .iter()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect()
}

fn rows_where<'a>(rows: &'a [Value], key: &str, value: &str) -> Vec<&'a Value> {
    rows.iter().filter(|row| row[key] == value).collect()
}

fn numbers(rows: &[&Value], key: &str) -> Vec<u64> {
    rows.iter()
        .map(|row| {
            row[key]
                .as_u64()
                .unwrap_or_else(|| panic!("no {key} in {row}"))
        })
        .collect()
}

fn assert_positive(row: &Value, keys: &[&str]) {
    for key in keys {
        assert!(
            row[key].as_f64().is_some_and(|figure| figure > 0.0),
            "{key} in {row}"
        );
    }
}

/// Checks that each figure has one fit, one prediction and one error row, in this order, and that
/// the prediction comes before the measurement.
fn assert_predictions(rows: &[Value], figures: &[&str]) {
    let index_of = |kind: &str, figure: &str| {
        let matches = |row: &Value| row["kind"] == kind && row["figure"] == figure;
        assert_eq!(
            rows.iter().filter(|row| matches(row)).count(),
            1,
            "{kind} of {figure}"
        );
        rows.iter()
            .position(matches)
            .expect("a row that was counted")
    };
    for figure in figures {
        let (fit, prediction, error) = (
            index_of("fit", figure),
            index_of("prediction", figure),
            index_of("error", figure),
        );
        assert_eq!(rows[fit]["points"], 3, "the largest size is not in the fit");
        assert_eq!(rows[prediction]["predicted"], rows[error]["predicted"]);
        let size = rows[prediction]["size"].as_f64().expect("a size") as u64;
        let over = rows[prediction]["over"]
            .as_str()
            .expect("the size's column");
        let largest =
            |row: &Value| row["kind"] == "measured" && row[over] == size && !row[figure].is_null();
        let measured = rows.iter().position(largest).expect("the largest size");
        assert!(
            fit < prediction && prediction < measured && measured < error,
            "{figure}"
        );
        assert_eq!(
            rows[measured][figure].as_f64(),
            rows[error]["measured"].as_f64(),
            "{figure}"
        );
    }
}

#[test]
fn a_fit_through_points_of_a_line_recovers_its_slope() {
    let points: Vec<Point> = [1_024.0, 4_096.0, 10_000.0]
        .map(|size| (size, 7.0 + 0.25 * size))
        .to_vec();
    let line = LinearFit::through(&points).expect("a line");
    assert!(
        (line.slope - 0.25).abs() < 1e-9 && (line.value_at(22_000.0) - 5_507.0).abs() < 1e-6,
        "{line:?}"
    );
    // Deviations from the line that cancel out do not change the slope.
    let noisy = [(0.0, 1.0), (1.0, 1.0), (2.0, 5.0), (3.0, 5.0)];
    assert!((LinearFit::through(&noisy).expect("a line").slope - 1.6).abs() < 1e-9);
    assert_eq!(LinearFit::through(&[(5.0, 1.0), (5.0, 2.0)]), None);
    assert_eq!(LinearFit::through(&[(5.0, 1.0)]), None);
}

/// Every statement is served by an engine that the dispatcher has, at every list size.
#[test]
fn decision_test_serves_every_statement_at_each_list_size() {
    let rows = small_case_rows(Test::Decision);
    let measured = rows_where(&rows, "kind", "measured");
    assert_eq!(numbers(&measured, "listed"), [16, 32, 64, 128]);
    for row in &measured {
        assert_eq!(
            (row["test"].as_str(), &row["managers"]),
            (Some("decision"), &Value::from(3_700))
        );
        assert_eq!(row["known"], row["listed"], "{row}");
        assert!(
            row["heard"].as_u64() <= row["known"].as_u64() && row["heard"].as_u64() > Some(0),
            "{row}"
        );
        assert_eq!(
            [&row["refused"], &row["failed"], &row["guarded"]],
            [0, 0, 0],
            "{row}"
        );
        assert_eq!(row["requests"], 500);
        // Of the 550 statements, about 37 are in flight at the end, at 4,595 statements per second
        // and 8 ms for each.
        assert!(
            row["served"]
                .as_u64()
                .is_some_and(|served| (510..=550).contains(&served)),
            "{row}"
        );
        assert_positive(row, &["us_request", "us_tick", "ticks"]);
    }
    assert_predictions(&rows, &["us_request", "us_tick"]);
}

/// Checks that every manager applies each change, and that no statement is sent to a removed
/// engine.
fn check_list_changes(rows: &[Value]) {
    let changes = rows_where(rows, "part", "change");
    let sizes: Vec<_> = numbers(&changes, "listed")
        .into_iter()
        .zip(numbers(&changes, "managers"))
        .collect();
    let managers = [2, 4, 8, 12];
    let both = [16, 128]
        .iter()
        .flat_map(|listed| managers.map(|managers| (*listed, managers)));
    assert_eq!(sizes, both.collect::<Vec<_>>());
    for row in changes {
        assert_eq!(
            (&row["old_ended"], &row["successor_ready"]),
            (&row["managers"], &row["managers"]),
            "{row}"
        );
        assert_eq!(row["asked_of_ended"], 0, "{row}");
        assert_eq!(
            row["asked"].as_u64(),
            row["managers"].as_u64().map(|managers| 5 * managers),
            "{row}"
        );
        assert_positive(row, &["ms_first", "ms_p50", "ms_p99", "ms_most"]);
    }
}

/// Checks that managers that start receive the full list, and that managers that reconnect receive
/// only what they missed.
fn check_list_starts_and_reconnects(rows: &[Value]) {
    let (starts, reconnects) = (
        rows_where(rows, "part", "start"),
        rows_where(rows, "part", "return"),
    );
    assert_eq!((starts.len(), reconnects.len()), (1, 1));
    assert_eq!(
        (&starts[0]["feed_connections"], &starts[0]["managers"]),
        (&Value::from(12), &Value::from(12))
    );
    assert!(
        starts[0]["feed_bytes"].as_u64() >= Some(12 * (13 + 27 * 128)),
        "{}",
        starts[0]
    );
    // Each manager reconnects and receives the event that it missed, but no full list.
    assert!(
        reconnects[0]["feed_connections"].as_u64() >= Some(12),
        "{}",
        reconnects[0]
    );
    let missed = reconnects[0]["feed_bytes"].as_u64().expect("bytes");
    assert!(
        (12 * 67..12 * (13 + 27 * 16)).contains(&missed),
        "{}",
        reconnects[0]
    );
}

/// Every in-process manager applies each change: none sends to the removed engine, and all may send
/// to its successor.
#[test]
fn list_test_applies_each_change_at_every_manager() {
    let rows = small_case_rows(Test::List);
    let costs = rows_where(&rows, "part", "cost");
    assert_eq!(numbers(&costs, "listed"), [16, 32, 64, 128]);
    for row in costs {
        let listed = row["listed"].as_u64().expect("a size");
        assert_eq!(
            (&row["known"], &row["bytes_whole"]),
            (&row["listed"], &Value::from(13 + 27 * listed))
        );
        assert_eq!(
            (&row["bytes_change"], &row["bytes_second_at_rest"]),
            (&Value::from(67), &Value::from(13.0))
        );
        assert_positive(row, &["us_whole", "us_change", "us_empty_frame", "heard"]);
    }
    check_list_changes(&rows);
    check_list_starts_and_reconnects(&rows);
    assert_predictions(
        &rows,
        &[
            "us_whole",
            "us_change",
            "bytes_whole",
            "memory_bytes",
            "memory_peak_bytes",
            "ms_p99",
            "ms_most",
        ],
    );
}

/// Every configuration of both forms is used, and the last one is in force. The form without the
/// list is shorter, and its size does not depend on the number of engines.
#[test]
fn reload_test_applies_every_configuration_of_both_forms() {
    let rows = small_case_rows(Test::Reload);
    let (whole, settings_only) = (
        rows_where(&rows, "part", "whole"),
        rows_where(&rows, "part", "settings_only"),
    );
    for form in [&whole, &settings_only] {
        assert_eq!(numbers(form, "listed"), [10, 20, 40, 80]);
        assert_eq!(numbers(form, "known"), [10, 20, 40, 80]);
        assert_eq!(numbers(form, "reloads"), [4; 4]);
        form.iter().for_each(|row| {
            assert_positive(row, &["ms_in_force", "mb_before", "per_minute_by_bytes"])
        });
    }
    let bytes = numbers(&settings_only, "bytes");
    assert!(bytes.iter().all(|size| *size == bytes[0]), "{bytes:?}");
    // Each engine adds the size of its entry to the file.
    for row in &whole {
        let listed = row["listed"].as_u64().expect("a size");
        let entries = row["bytes"].as_u64().expect("bytes") - bytes[0];
        assert!((130 * listed..200 * listed).contains(&entries), "{row}");
    }
    let largest = |form: &[&Value], key: &str| form.last().expect("rows")[key].clone();
    let figures = [
        ("ms_reload_whole", largest(&whole, "ms_reload")),
        ("mb_peak_above_whole", largest(&whole, "mb_peak_above")),
        ("bytes_whole", largest(&whole, "bytes")),
        (
            "ms_reload_settings_only",
            largest(&settings_only, "ms_reload"),
        ),
    ];
    for (figure, measured) in figures {
        let error = rows_where(&rows, "kind", "error")
            .into_iter()
            .find(|row| row["figure"] == figure);
        let error = error.unwrap_or_else(|| panic!("no error row of {figure}"));
        assert_eq!(
            (error["measured"].as_f64(), error["size"].as_f64()),
            (measured.as_f64(), Some(80.0))
        );
    }
}

/// Every offered statement is accepted and answered exactly once, at each rate and number of
/// connections, while engines of the list are replaced.
#[test]
fn manager_test_answers_every_offered_statement_once_during_churn() {
    let rows = small_case_rows(Test::Manager);
    for part in ["rest", "churn", "summary"] {
        assert_eq!(
            numbers(&rows_where(&rows, "part", part), "known"),
            [16, 32, 64, 128],
            "{part}"
        );
    }
    for row in rows_where(&rows, "part", "churn") {
        assert_positive(row, &["list_events", "replaced_a_day", "mb_resident"]);
    }
    let connections = numbers(&rows_where(&rows, "part", "connections"), "connections");
    assert_eq!(connections, [8, 8, 8, 2, 4, 6, 8]);
    let statements = rows_where(&rows, "part", "statements");
    assert_eq!(numbers(&statements, "offered"), [5, 10, 20].repeat(5));
    assert_eq!(
        numbers(&statements, "connections"),
        [[8; 9].as_slice(), &[2; 3], &[8; 3]].concat()
    );
    for row in &statements {
        let count = |key: &str| {
            row[key]
                .as_u64()
                .unwrap_or_else(|| panic!("no {key} in {row}"))
        };
        assert_eq!(count("taken"), count("offered"), "{row}");
        assert_eq!(
            count("served") + count("refused") + count("failed"),
            count("offered"),
            "{row}"
        );
        assert_eq!(
            (count("unanswered"), count("stray"), count("held_back")),
            (0, 0, 0),
            "{row}"
        );
        assert!(
            count("served") > 0 && count("attempts") >= count("served"),
            "{row}"
        );
        assert_positive(
            row,
            &["p50_ms", "engine_bytes_in", "engine_bytes_out", "mb_peak"],
        );
    }
    assert_predictions(
        &rows,
        &[
            "us_statement_usual",
            "percent_core_control",
            "mb_before_clients",
        ],
    );
}

/// Every engine is in the subset of some manager, and no subset exceeds its bound. A replaced
/// engine changes only the subsets that contain it or its successor, and adding or removing a
/// manager changes no other manager's subset.
#[test]
fn subset_test_gives_every_engine_a_manager_and_changes_only_affected_subsets() {
    let rows = small_case_rows(Test::Subset);
    let balance = rows_where(&rows, "part", "balance");
    assert_eq!(numbers(&balance, "listed"), [16, 32, 64, 128]);
    for row in &balance {
        assert_eq!(
            (&row["without"], &row["managers"]),
            (&Value::from(0), &Value::from(60)),
            "{row}"
        );
        assert!(row["engines_most"].as_u64() <= Some(12 + 14), "{row}");
        assert_positive(
            row,
            &[
                "holders_least",
                "holders_mean",
                "most_to_mean",
                "zone_part_most",
                "us_change",
            ],
        );
    }
    let churn = rows_where(&rows, "part", "churn")[0];
    assert_eq!(
        (&churn["engines"], &churn["replaced_moved_others"]),
        (&Value::from(3), &Value::from(0)),
        "{churn}"
    );
    assert_eq!(
        [&churn["manager_more_moved"], &churn["manager_less_moved"]],
        [0, 0],
        "{churn}"
    );
    assert!(
        churn["replaced_moved_holders"].as_u64() >= churn["held"].as_u64(),
        "{churn}"
    );
    let views = rows_where(&rows, "part", "views");
    assert_eq!(views.len(), 5);
    for row in views {
        assert!(
            row["parts_worst"]
                .as_f64()
                .is_some_and(|parts| parts > 0.0 && parts <= 1.0),
            "{row}"
        );
    }
    assert_predictions(&rows, &["us_change"]);
}
