//! Results in the two forms that engines give: rows as text, and Arrow data. A client gets the form of its
//! protocol whichever the engine spoke.

use crate::core::{ResultBody, ResultFormat};
use arrow_array::{ArrayRef, RecordBatch, StringArray};
use arrow_cast::display::{ArrayFormatter, FormatOptions};
use arrow_flight::FlightData;
use arrow_flight::utils::{batches_to_flight_data, flight_data_to_batches};
use arrow_schema::{ArrowError, DataType, Field, Schema};
use bytes::Bytes;
use prost::Message;
use std::sync::Arc;

/// Why a result cannot be had in another form.
#[derive(Debug)]
pub(crate) struct Unfit;

impl From<ArrowError> for Unfit {
    fn from(_: ArrowError) -> Unfit {
        Unfit
    }
}

impl From<prost::DecodeError> for Unfit {
    fn from(_: prost::DecodeError) -> Unfit {
        Unfit
    }
}

/// The columns of rows that came as text.
const COLUMNS: [&str; 3] = ["column_1", "column_2", "column_3"];

/// A whole result as Flight messages, the schema first. Text becomes three columns of text.
pub(crate) fn arrow(body: &ResultBody) -> Result<Vec<FlightData>, Unfit> {
    if body.format == ResultFormat::Arrow {
        return body
            .chunks
            .iter()
            .map(|p| Ok(FlightData::decode(p.clone())?))
            .collect();
    }
    let text = body.chunks.concat();
    let text = std::str::from_utf8(&text).map_err(|_| Unfit)?;
    let mut columns: [Vec<Option<&str>>; 3] = Default::default();
    for row in text.split_terminator('\n') {
        let mut cells = row.splitn(COLUMNS.len(), '\t');
        columns.iter_mut().for_each(|c| c.push(cells.next()));
    }
    let fields: Vec<Field> = COLUMNS
        .iter()
        .map(|name| Field::new(*name, DataType::Utf8, true))
        .collect();
    let schema = Arc::new(Schema::new(fields));
    let arrays = columns
        .into_iter()
        .map(|c| Arc::new(StringArray::from(c)) as ArrayRef)
        .collect();
    let batch = RecordBatch::try_new(schema.clone(), arrays)?;
    Ok(batches_to_flight_data(&schema, [&batch])?)
}

/// A whole result as rows of text.
pub(crate) fn text(body: &ResultBody) -> Result<Vec<Bytes>, Unfit> {
    if body.format == ResultFormat::Text {
        return Ok(body.chunks.clone());
    }
    let data = arrow(body)?;
    if data.is_empty() {
        return Ok(Vec::new());
    }
    let mut text = String::new();
    let options = FormatOptions::default();
    for batch in flight_data_to_batches(&data)? {
        let columns: Result<Vec<_>, _> = batch
            .columns()
            .iter()
            .map(|c| ArrayFormatter::try_new(c.as_ref(), &options))
            .collect();
        let columns = columns?;
        for row in 0..batch.num_rows() {
            for (i, column) in columns.iter().enumerate() {
                text.push_str(if i > 0 { "\t" } else { "" });
                // A tab or line feed in a cell would read as the end of it.
                text.push_str(
                    &column
                        .value(row)
                        .try_to_string()?
                        .replace(['\t', '\n'], " "),
                );
            }
            text.push('\n');
        }
    }
    Ok(vec![text.into()])
}

/// The count of rows that an update changed; -1, as Flight SQL has it, where the engine did not tell.
pub(crate) fn count(body: &ResultBody) -> i64 {
    let first = text(body)
        .ok()
        .and_then(|p| p.first().cloned())
        .unwrap_or_default();
    let line = first
        .split(|b| *b == b'\n' || *b == b'\t')
        .next()
        .unwrap_or_default();
    std::str::from_utf8(line)
        .ok()
        .and_then(|n| n.trim().parse().ok())
        .unwrap_or(-1)
}

/// The body of an update's answer.
pub(crate) fn counted(records: i64) -> ResultBody {
    ResultBody::complete(ResultFormat::Text, vec![format!("{records}\t\t\n").into()])
}

#[cfg(test)]
mod tests;
