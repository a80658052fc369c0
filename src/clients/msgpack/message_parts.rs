//! The positions of a message's parts within its bytes.

use super::{Call, Fields, Message};
use bytes::Bytes;
use std::ops::Range;

/// The head of a call: all that is needed to answer it with an error.
#[derive(Clone, Debug)]
pub(crate) struct CallHead {
    /// Message id of the call.
    pub(crate) id: u64,
    /// The position of the method's name in the input.
    pub(crate) method: Range<usize>,
}

/// The positions of the names and values of a call's fields.
pub(super) type FieldRanges = Vec<(Range<usize>, Range<usize>)>;

/// The positions of a message's parts within its bytes.
pub(super) enum MessageParts {
    Call {
        head: CallHead,
        parameters: ParameterRanges,
    },
    Cancel {
        id: u64,
    },
    UnknownNotification,
}

/// The positions of a call's parameters; `None` for a parameter that is missing or has another
/// type.
#[derive(Default)]
pub(super) struct ParameterRanges {
    pub(super) fields: Option<FieldRanges>,
    pub(super) body: Option<Range<usize>>,
}

impl MessageParts {
    /// Builds the message from slices of its bytes.
    pub(super) fn slice(self, bytes: &Bytes) -> Message {
        match self {
            MessageParts::Call { head, parameters } => Message::Call(Call {
                id: head.id,
                method: bytes.slice(head.method),
                fields: parameters.fields.map(|ranges| slice_fields(ranges, bytes)),
                body: parameters.body.map(|range| bytes.slice(range)),
            }),
            MessageParts::Cancel { id } => Message::Cancel { id },
            MessageParts::UnknownNotification => Message::UnknownNotification,
        }
    }
}

fn slice_fields(ranges: FieldRanges, bytes: &Bytes) -> Fields {
    let slices = ranges
        .into_iter()
        .map(|(name, value)| (bytes.slice(name), bytes.slice(value)));
    Fields(slices.collect())
}
