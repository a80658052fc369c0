//! The configuration of a workload manager in tests, and changes to it.

use serde_json::Value;

/// The settings, with three request classes, as the platform's configuration has them.
fn settings() -> String {
    let class = |name: &str, effect: &str, promise_ms: u32| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","promiseMs":{promise_ms},"aimStretch":3.0,"giveUpMs":15000,
                "points":1,"lateWorth":0.5,"memorySpanMs":5000,"dedupScope":"all",
                "fifoByKey":false}}"#
        )
    };
    let classes = [
        class("seat-check", "repeatable", 5000),
        class("usage-report", "repeatable", 9000),
    ];
    let classes = format!(
        "{},{},{}",
        classes[0],
        classes[1],
        class("log-load", "once", 9000)
    );
    format!(
        r#"{{"nInstances":1,"ordinal":0,"classes":[{classes}],"discovery":"push","zones":["hall-a"],"shapes":["std-8c"],
        "tenants":[{{"name":"member-north","quotaPerS":28}}],"report":{{"how":"inline","names":["rif"]}},
        "guarantees":{{"coldMs":15000,"coldShare":0.3,"overloadForMs":1500,"tipMultiple":3,
        "orderPauseMs":300}},"limits":{{"attemptsCap":6,"cancel":true,"retryAfter":true,"maxRetryAfterMs":1000,"connectTimeoutMs":250,
        "connIdleMs":15000,"streamsPerConn":100,"maxOpen":200}},
        "specifics":{{"classThreads":[1,3,2],"sizeCores":[8],"bills":true,"progressMs":500,"takesGrants":true}}}}"#
    )
}

/// The text of a configuration with this feed and this event as the known list of engines.
pub(crate) fn configuration(feed: std::net::SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","ops":"127.0.0.1:0","seed":"8c1f30d27a5be964",
        "limits":{{"sockets":64,"memory_mb":32}},
        "feed":"{feed}","known":{{"n":1,"events":[{known}]}},"settings":{}}}"#,
        settings()
    )
}

/// A configuration with changes:
///
/// - `-NAME` removes a class; `+NAME` adds a non-idempotent class before the others.
/// - `NAME=VALUE` sets this value wherever the key occurs; `!NAME` removes the key wherever it
///   occurs.
/// - `cut`, as the only change, keeps the first half of the text; `empty` keeps nothing.
pub(crate) fn apply_changes(text: &str, changes: &[&str]) -> String {
    fn edit_each(
        value: &mut Value,
        key: &str,
        change: &dyn Fn(&mut serde_json::Map<String, Value>),
    ) {
        match value {
            Value::Object(map) => {
                map.values_mut()
                    .for_each(|value| edit_each(value, key, change));
                if map.contains_key(key) {
                    change(map);
                }
            }
            Value::Array(elements) => elements
                .iter_mut()
                .for_each(|value| edit_each(value, key, change)),
            _ => {}
        }
    }
    let mut value: Value = serde_json::from_str(text).expect("configuration");
    for change in changes {
        let classes = value["settings"]["classes"]
            .as_array_mut()
            .expect("classes");
        if let Some(name) = change.strip_prefix('-') {
            classes.retain(|class| class["name"] != name);
        } else if let Some(name) = change.strip_prefix('+') {
            let mut class = classes[0].clone();
            (class["name"], class["effect"]) = (name.into(), "once".into());
            classes.insert(0, class);
        } else if let Some(key) = change.strip_prefix('!') {
            edit_each(&mut value, key, &|map| drop(map.remove(key)));
        } else if let Some((key, new_value)) = change.split_once('=') {
            let new_value: Value = serde_json::from_str(new_value).expect("value");
            edit_each(&mut value, key, &|map| {
                drop(map.insert(key.to_owned(), new_value.clone()))
            });
        }
    }
    let text = value.to_string();
    match changes {
        ["cut"] => text[..text.len() / 2].to_owned(),
        ["empty"] => String::new(),
        _ => text,
    }
}
