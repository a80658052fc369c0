//! Tests of the metrics table, its printed forms and the latency histogram.

use super::{LatencyHistogram, LatencySummary, MetricKind, Metrics};

#[test]
fn an_empty_histogram_prints_zeros() {
    let histogram = LatencyHistogram::default();
    assert_eq!(histogram.to_string(), "n:0,p50_us:0,p99_us:0,max_us:0");
}

#[test]
fn latencies_outside_the_range_are_clamped() {
    let histogram = LatencyHistogram::default();
    histogram.record(-1.0);
    histogram.record(1e9);
    let LatencySummary {
        count,
        p50_us,
        max_us,
        ..
    } = histogram.summary();
    assert_eq!((count, p50_us), (2, 1));
    // The histogram keeps two significant digits of the maximum of 60 s.
    assert!((59_000_000..61_000_000).contains(&max_us), "{max_us}");
}

#[test]
fn both_printed_forms_contain_the_counts_of_each_class() {
    let metrics = Metrics::default();
    metrics.outcomes_of_class("a").served.increment();
    metrics.outcomes_of_class("b").rejected.increment();
    metrics.outcomes_of_class("a").failed.add(2);
    let figures = metrics.admin_figures();
    let expected = "node.passed.a=1\nnode.dropped.a=0\nnode.bad_gateway.a=2\n\
        node.passed.b=0\nnode.dropped.b=1\nnode.bad_gateway.b=0\n";
    assert!(figures.starts_with(expected), "{figures}");
    let line = metrics.to_string();
    let expected = " a=passed:1,dropped:0,bad_gateway:2 b=passed:0,dropped:1,bad_gateway:0";
    assert!(line.ends_with(expected), "{line}");
}

#[test]
fn the_oldest_class_is_removed_when_the_table_is_full() {
    let metrics = Metrics::default();
    for class in 0..=256 {
        metrics
            .outcomes_of_class(&format!("class-{class}"))
            .served
            .increment();
    }
    let classes = metrics.class_counts();
    let names = (&classes[0].class[..], &classes[255].class[..]);
    assert_eq!((classes.len(), names), (256, ("class-1", "class-256")));
}

#[test]
fn metrics_are_listed_with_their_kind_and_value() {
    let metrics = Metrics::default();
    metrics.requests_open.increment();
    metrics.requests_open.increment();
    metrics.requests_open.decrement();
    metrics.requests_accepted.add(2);
    let listed = metrics.all();
    let find = |name| {
        let metric = listed.iter().find(|metric| metric.name == name);
        metric.map(|metric| (metric.kind, metric.value))
    };
    assert_eq!(find("requests_open"), Some((MetricKind::Gauge, 1)));
    assert_eq!(find("requests_accepted"), Some((MetricKind::Counter, 2)));
}
