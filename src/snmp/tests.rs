//! Tests that the MIB file matches the agent's objects.

use crate::metrics::{MetricKind, Metrics};

/// The MIB file defines every metric under its number and name, with the syntax of its kind.
#[test]
fn the_mib_file_describes_every_metric_in_order() {
    let mib = include_str!("../../mibs/MAGPIECHUTE-MIB.txt");
    let mut objects = Vec::new();
    let scalars = mib
        .split("mcClassTable OBJECT-TYPE")
        .next()
        .unwrap_or_default();
    for definition in scalars.split(" OBJECT-TYPE\n").skip(1) {
        let word_after = |marker: &str| {
            definition
                .split(marker)
                .nth(1)
                .and_then(|rest| rest.split_whitespace().next())
        };
        objects.push((word_after("SYNTAX"), word_after("::= { magpiechute")));
    }
    let names: Vec<String> = Metrics::default()
        .all()
        .iter()
        .map(|metric| metric.name.replace('_', ""))
        .collect();
    for (index, metric) in Metrics::default().all().iter().enumerate() {
        let name = metric.name;
        let syntax = match metric.kind {
            MetricKind::Gauge => "Gauge32",
            MetricKind::Counter => "Counter64",
        };
        let number = (index + 1).to_string();
        assert_eq!(
            objects.get(index),
            Some(&(Some(syntax), Some(number.as_str()))),
            "{name}"
        );
        let object = format!("\nmc{} object-type", names[index]);
        assert!(mib.to_lowercase().contains(&object), "{object}");
    }
    assert_eq!(objects.len(), names.len());
    let table = format!("::= {{ magpiechute {} }}", super::mib_view::CLASS_TABLE);
    assert!(mib.contains(&table) && mib.contains("mcClassBadGateway OBJECT-TYPE"));
}
