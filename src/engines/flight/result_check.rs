//! Checks the messages of a result before they are passed on.
//!
//! The header of a record batch states where its columns lie in the body of the message. A decoder
//! relies on that. So a header that does not fit its body makes the result unusable, and the
//! attempt fails, whichever client the result is for.

use arrow_flight::FlightData;
use arrow_ipc::{Message, MessageHeader, RecordBatch, root_as_message};
use thiserror::Error;

/// Why a message of a result cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum UnusableMessage {
    #[error("the header of a message cannot be read")]
    UnreadableHeader,
    #[error("the header of a message has no content")]
    EmptyHeader,
    #[error("a column with {length} rows and {null_count} nulls")]
    InvalidColumn { length: i64, null_count: i64 },
    #[error("data at {offset} with {length} bytes in a body of {body_bytes} bytes")]
    OutsideBody {
        offset: i64,
        length: i64,
        body_bytes: usize,
    },
}

/// Checks that a message can be read, and that the data which its header describes lies within its
/// body.
///
/// # Errors
///
/// If the message cannot be used.
pub(super) fn check_message(data: &FlightData) -> Result<(), UnusableMessage> {
    if data.data_header.is_empty() {
        // A message that carries only metadata of the application.
        return Ok(());
    }
    let message =
        root_as_message(&data.data_header).map_err(|_| UnusableMessage::UnreadableHeader)?;
    match record_batch(&message)? {
        Some(batch) => check_batch(batch, data.data_body.len()),
        None => Ok(()),
    }
}

/// The record batch in a message; `None` if messages of its type have none.
fn record_batch<'a>(message: &Message<'a>) -> Result<Option<RecordBatch<'a>>, UnusableMessage> {
    let batch = match message.header_type() {
        MessageHeader::RecordBatch => message.header_as_record_batch(),
        MessageHeader::DictionaryBatch => message
            .header_as_dictionary_batch()
            .and_then(|dictionary| dictionary.data()),
        _ => return Ok(None),
    };
    batch.map(Some).ok_or(UnusableMessage::EmptyHeader)
}

fn check_batch(batch: RecordBatch<'_>, body_bytes: usize) -> Result<(), UnusableMessage> {
    for column in batch.nodes().into_iter().flatten() {
        let (length, null_count) = (column.length(), column.null_count());
        if length < 0 || !(0..=length).contains(&null_count) {
            return Err(UnusableMessage::InvalidColumn { length, null_count });
        }
    }
    for buffer in batch.buffers().into_iter().flatten() {
        let (offset, length) = (buffer.offset(), buffer.length());
        if !is_within(offset, length, body_bytes) {
            return Err(UnusableMessage::OutsideBody {
                offset,
                length,
                body_bytes,
            });
        }
    }
    Ok(())
}

fn is_within(offset: i64, length: i64, body_bytes: usize) -> bool {
    let end = offset.checked_add(length);
    offset >= 0
        && length >= 0
        && end
            .and_then(|end| usize::try_from(end).ok())
            .is_some_and(|end| end <= body_bytes)
}

#[cfg(test)]
mod tests;
