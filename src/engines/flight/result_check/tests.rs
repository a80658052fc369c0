//! Tests of the check of results.

use super::{UnusableMessage, check_message};
use crate::core::{ResultBody, ResultFormat};
use crate::rows;
use arrow_flight::FlightData;
use proptest::prelude::{ProptestConfig, any, proptest};
use prost::Message;

/// The messages of a result: its schema and one record batch.
fn result_messages() -> Vec<FlightData> {
    let rows = "a\tb\tc\nd\te\tf\n".repeat(20);
    let body = ResultBody::complete(ResultFormat::Text, vec![rows.into()]);
    rows::to_arrow(&body).expect("a result")
}

#[test]
fn every_message_of_a_result_is_usable() {
    for message in result_messages() {
        assert_eq!(check_message(&message), Ok(()));
    }
    assert_eq!(check_message(&FlightData::new()), Ok(()));
}

#[test]
fn batch_whose_body_is_too_short_is_unusable() {
    let mut batch = result_messages().remove(1);
    batch.data_body.truncate(batch.data_body.len() / 2);
    let error = check_message(&batch).expect_err("unusable");
    assert!(
        matches!(error, UnusableMessage::OutsideBody { .. }),
        "{error}"
    );
}

#[test]
fn unreadable_header_is_unusable() {
    let mut batch = result_messages().remove(1);
    batch.data_header = vec![0xff; 64].into();
    assert_eq!(
        check_message(&batch),
        Err(UnusableMessage::UnreadableHeader)
    );
}

/// The result with one message changed: a byte of its header and one of its body are replaced, and
/// the body is cut.
fn spoil(index: usize, header_byte: (usize, u8), body_byte: (usize, u8), cut: usize) -> ResultBody {
    let mut messages = result_messages();
    let index = index % messages.len();
    let message = &mut messages[index];
    let mut header = message.data_header.to_vec();
    let mut body = message.data_body.to_vec();
    for (bytes, (position, value)) in [(&mut header, header_byte), (&mut body, body_byte)] {
        if !bytes.is_empty() {
            let position = position % bytes.len();
            bytes[position] = value;
        }
    }
    body.truncate(body.len() - cut.min(body.len()));
    (message.data_header, message.data_body) = (header.into(), body.into());
    let chunks = messages
        .iter()
        .map(|message| message.encode_to_vec().into());
    ResultBody::complete(ResultFormat::Arrow, chunks.collect())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4096))]

    /// Guards against a result that ends the task of a client's connection: whatever an engine
    /// sends, its check and its conversion return.
    #[test]
    fn spoilt_results_are_checked_and_converted_without_a_panic(
        index in 0..2_usize,
        header_byte in (any::<usize>(), any::<u8>()),
        body_byte in (any::<usize>(), any::<u8>()),
        cut in 0..200_usize,
    ) {
        let body = spoil(index, header_byte, body_byte, cut);
        for message in rows::to_arrow(&body).expect("messages") {
            let _ = check_message(&message);
        }
        let _ = rows::to_text(&body);
        let _ = rows::changed_row_count(&body);
    }
}
