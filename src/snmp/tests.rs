//! Tests of this module.

use crate::metrics::{MetricKind, Metrics};

/// The file names every counter, with its number and syntax.
#[test]
fn the_mib_file_tells_what_the_agent_has() {
    let mib = include_str!("../../mibs/MAGPIECHUTE-MIB.txt");
    let mut objects = Vec::new();
    let metrics = mib
        .split("mcClassTable OBJECT-TYPE")
        .next()
        .unwrap_or_default();
    for part in metrics.split(" OBJECT-TYPE\n").skip(1) {
        let word = |after: &str| {
            part.split(after)
                .nth(1)
                .and_then(|t| t.split_whitespace().next())
        };
        objects.push((word("SYNTAX"), word("::= { magpiechute")));
    }
    let names: Vec<String> = Metrics::default()
        .all()
        .iter()
        .map(|metric| metric.name.replace('_', ""))
        .collect();
    for (i, metric) in Metrics::default().all().iter().enumerate() {
        let name = metric.name;
        let syntax = match metric.kind {
            MetricKind::Gauge => "Gauge32",
            MetricKind::Counter => "Counter64",
        };
        let number = (i + 1).to_string();
        assert_eq!(
            objects.get(i),
            Some(&(Some(syntax), Some(number.as_str()))),
            "{name}"
        );
        let object = format!("\nmc{} object-type", names[i]);
        assert!(mib.to_lowercase().contains(&object), "{object}");
    }
    assert_eq!(objects.len(), names.len());
    let table = format!("::= {{ magpiechute {} }}", super::mib_view::CLASS_TABLE);
    assert!(mib.contains(&table) && mib.contains("mcClassBadGateway OBJECT-TYPE"));
}
