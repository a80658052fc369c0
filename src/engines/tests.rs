//! What the tests of engines' actors share.

use super::Order;
use crate::core::{Ask, Kind};
use bytes::Bytes;

/// An attempt on a small statement.
pub(super) fn ask(id: u32) -> Order {
    ask_of(id, 10)
}

/// An attempt on a statement of so many bytes.
pub(super) fn ask_of(id: u32, bytes: usize) -> Order {
    let text = r#"{"nInstances":1,"classes":[{"name":"a","effect":"repeatable","promiseMs":1,"giveUpMs":9}],
        "guarantees":{"coldMs":1,"coldShare":0.3,"overloadForMs":1,"tipMultiple":3},
        "limits":{"attemptsCap":6}}"#;
    let class = crate::settings::parse(text.as_bytes()).expect("settings").classes[0].clone();
    Order::Ask(Ask {
        id,
        attempt: 0,
        name: Bytes::from(format!("{id:016x}")),
        class,
        due_ms: 1e13,
        memory_mb: 0.0,
        priority: 1,
        statement: Bytes::from(vec![b' '; bytes]),
        kind: Kind::Query,
    })
}
