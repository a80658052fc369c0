//! Conversion of results between the two formats of engines: rows of text, and Arrow data. A client
//! receives the format of its protocol, whichever format the engine sent.
//!
//! The cells of a text row are separated by tabs, and a line feed ends the row. The answer to an
//! update is one row, whose first cell is the number of changed rows.

use crate::core::{ResultBody, ResultFormat};
use arrow_array::{ArrayRef, RecordBatch, StringArray};
use arrow_cast::display::{ArrayFormatter, FormatOptions};
use arrow_flight::FlightData;
use arrow_flight::utils::{batches_to_flight_data, flight_data_to_batches};
use arrow_schema::{ArrowError, DataType, Field, Schema};
use bytes::Bytes;
use prost::Message;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

/// Why a result cannot be converted to another format.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConversionError {
    /// A chunk of an Arrow result is not a Flight message.
    #[error("a result chunk is not a Flight message: {0}")]
    FlightMessage(#[from] prost::DecodeError),
    /// The Arrow data does not match its schema, or has a type that cannot be shown as text.
    #[error("Arrow data cannot be converted: {0}")]
    Arrow(#[from] ArrowError),
    /// Rows of text are not UTF-8.
    #[error("rows of text are not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// The decoder of Arrow data panicked, because the data contradicts itself.
    #[error("the decoder of Arrow data panicked")]
    DecoderPanicked,
}

/// Column names of text rows that are converted to Arrow data. Further cells of a row are kept in
/// the last column.
const TEXT_COLUMN_NAMES: [&str; 3] = ["column_1", "column_2", "column_3"];

/// The value with which Flight SQL reports an unknown number of changed rows.
const UNKNOWN_ROW_COUNT: i64 = -1;

/// Converts a complete result to Flight messages. The first message is the schema.
pub(crate) fn to_arrow(body: &ResultBody) -> Result<Vec<FlightData>, ConversionError> {
    match body.format {
        ResultFormat::Arrow => decode_flight_messages(body),
        ResultFormat::Text => text_to_arrow(&body.chunks.concat()),
    }
}

fn decode_flight_messages(body: &ResultBody) -> Result<Vec<FlightData>, ConversionError> {
    body.chunks
        .iter()
        .map(|chunk| Ok(FlightData::decode(chunk.clone())?))
        .collect()
}

fn text_to_arrow(text: &[u8]) -> Result<Vec<FlightData>, ConversionError> {
    let text = std::str::from_utf8(text)?;
    let mut columns: [Vec<Option<&str>>; TEXT_COLUMN_NAMES.len()] = Default::default();
    for row in text.split_terminator('\n') {
        let mut cells = row.splitn(TEXT_COLUMN_NAMES.len(), '\t');
        for column in &mut columns {
            column.push(cells.next());
        }
    }
    let schema = Arc::new(Schema::new(
        TEXT_COLUMN_NAMES
            .map(|name| Field::new(name, DataType::Utf8, true))
            .to_vec(),
    ));
    let arrays = columns
        .into_iter()
        .map(|cells| Arc::new(StringArray::from(cells)) as ArrayRef)
        .collect();
    let batch = RecordBatch::try_new(schema.clone(), arrays)?;
    Ok(batches_to_flight_data(&schema, [&batch])?)
}

/// Converts a complete result to rows of text.
pub(crate) fn to_text(body: &ResultBody) -> Result<Vec<Bytes>, ConversionError> {
    if body.format == ResultFormat::Text {
        return Ok(body.chunks.clone());
    }
    let messages = to_arrow(body)?;
    if messages.is_empty() {
        return Ok(Vec::new());
    }
    contain_panic(|| messages_to_text(&messages)).map(|text| vec![text.into()])
}

/// Calls the decoder. The decoder panics on some data that contradicts itself. That must end this
/// result alone, and not the task of the connection that needs it.
fn contain_panic<T>(
    decode: impl FnOnce() -> Result<T, ConversionError>,
) -> Result<T, ConversionError> {
    // The closure only reads the messages and returns what it builds, so no half-changed state is
    // left after a panic.
    catch_unwind(AssertUnwindSafe(decode)).unwrap_or(Err(ConversionError::DecoderPanicked))
}

fn messages_to_text(messages: &[FlightData]) -> Result<String, ConversionError> {
    let mut text = String::new();
    for batch in flight_data_to_batches(messages)? {
        push_rows(&mut text, &batch)?;
    }
    Ok(text)
}

fn push_rows(text: &mut String, batch: &RecordBatch) -> Result<(), ConversionError> {
    let options = FormatOptions::default();
    let columns = batch
        .columns()
        .iter()
        .map(|column| ArrayFormatter::try_new(column.as_ref(), &options))
        .collect::<Result<Vec<_>, _>>()?;
    for row in 0..batch.num_rows() {
        for (index, column) in columns.iter().enumerate() {
            if index > 0 {
                text.push('\t');
            }
            // A tab or line feed inside a cell would be read as the end of the cell.
            let cell = column.value(row).try_to_string()?;
            text.push_str(&cell.replace(['\t', '\n'], " "));
        }
        text.push('\n');
    }
    Ok(())
}

/// The number of rows that an update changed. If the engine's answer has no number, the result is
/// -1 as in Flight SQL.
pub(crate) fn changed_row_count(body: &ResultBody) -> i64 {
    let first_chunk = to_text(body)
        .ok()
        .and_then(|chunks| chunks.first().cloned())
        .unwrap_or_default();
    let first_cell = first_chunk
        .split(|byte| *byte == b'\n' || *byte == b'\t')
        .next()
        .unwrap_or_default();
    std::str::from_utf8(first_cell)
        .ok()
        .and_then(|count| count.trim().parse().ok())
        .unwrap_or(UNKNOWN_ROW_COUNT)
}

/// The answer to an update that changed `count` rows.
pub(crate) fn changed_rows_body(count: i64) -> ResultBody {
    ResultBody::complete(ResultFormat::Text, vec![format!("{count}\t\t\n").into()])
}

#[cfg(test)]
mod tests;
