//! Tests of this module.

use super::{arrow, count, counted, text};
use crate::core::{Body, Form};
use prost::Message;

#[test]
fn rows_survive_the_way_there_and_back() {
    let rows = "a\tb\tc\nd\te\tf\n";
    let there = arrow(&Body::whole(
        Form::Text,
        vec!["a\tb\tc\nd\t".into(), "e\tf\n".into()],
    ))
    .expect("arrow");
    let pieces = there
        .into_iter()
        .map(|d| d.encode_to_vec().into())
        .collect();
    let back = text(&Body::whole(Form::Arrow, pieces)).expect("text");
    assert_eq!(back.concat(), rows.as_bytes());
}

#[test]
fn counts_and_what_is_no_count() {
    assert_eq!(count(&counted(42)), 42);
    assert_eq!(
        count(&Body::whole(Form::Text, vec!["done\t\t\n".into()])),
        -1
    );
    assert!(arrow(&Body::whole(Form::Arrow, vec!["\u{7f}junk".into()])).is_err());
}
