//! Tests of the conversion of results.

use super::{changed_row_count, changed_rows_body, to_arrow, to_text};
use crate::core::{ResultBody, ResultFormat};
use prost::Message;

#[test]
fn rows_are_the_same_after_conversion_to_arrow_and_back() {
    let rows = "a\tb\tc\nd\te\tf\n";
    let messages = to_arrow(&ResultBody::complete(
        ResultFormat::Text,
        vec!["a\tb\tc\nd\t".into(), "e\tf\n".into()],
    ))
    .expect("arrow");
    let chunks = messages
        .into_iter()
        .map(|message| message.encode_to_vec().into())
        .collect();
    let text = to_text(&ResultBody::complete(ResultFormat::Arrow, chunks)).expect("text");
    assert_eq!(text.concat(), rows.as_bytes());
}

#[test]
fn answer_without_a_row_count_is_minus_one_and_malformed_arrow_is_an_error() {
    assert_eq!(changed_row_count(&changed_rows_body(42)), 42);
    assert_eq!(
        changed_row_count(&ResultBody::complete(
            ResultFormat::Text,
            vec!["done\t\t\n".into()]
        )),
        -1
    );
    assert!(
        to_arrow(&ResultBody::complete(
            ResultFormat::Arrow,
            vec!["\u{7f}junk".into()]
        ))
        .is_err()
    );
}
