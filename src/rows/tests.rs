//! Tests of this module.

use super::{arrow, count, counted, text};
use crate::core::{ResultBody, ResultFormat};
use prost::Message;

#[test]
fn rows_survive_the_way_there_and_back() {
    let rows = "a\tb\tc\nd\te\tf\n";
    let there = arrow(&ResultBody::complete(
        ResultFormat::Text,
        vec!["a\tb\tc\nd\t".into(), "e\tf\n".into()],
    ))
    .expect("arrow");
    let pieces = there
        .into_iter()
        .map(|d| d.encode_to_vec().into())
        .collect();
    let back = text(&ResultBody::complete(ResultFormat::Arrow, pieces)).expect("text");
    assert_eq!(back.concat(), rows.as_bytes());
}

#[test]
fn counts_and_what_is_no_count() {
    assert_eq!(count(&counted(42)), 42);
    assert_eq!(
        count(&ResultBody::complete(
            ResultFormat::Text,
            vec!["done\t\t\n".into()]
        )),
        -1
    );
    assert!(
        arrow(&ResultBody::complete(
            ResultFormat::Arrow,
            vec!["\u{7f}junk".into()]
        ))
        .is_err()
    );
}
