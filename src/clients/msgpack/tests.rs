//! Tests that no input of a client makes the parser panic.

use super::{Message, Parsed, parse_message};
use crate::core::{Clock, Handle};
use crate::engines::EngineContext;
use crate::sql;
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, any, proptest};

/// A call of class `a` with one field and a statement.
const CALL: &[u8] = b"\x94\x00\x07\xa1a\x92\x81\xa3ref\xb00000000000000007\xc4\x08SELECT 1";

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4096))]

    /// Guards against a message that ends the task of its connection: a changed or cut call is
    /// parsed or refused, and its statement is scanned.
    #[test]
    fn changed_calls_are_parsed_without_a_panic(
        changes in vec((any::<usize>(), any::<u8>()), 0..4),
        tail in vec(any::<u8>(), 0..8),
        cut in 0..64_usize,
    ) {
        let mut input = CALL.to_vec();
        for (position, value) in changes {
            let position = position % input.len();
            input[position] = value;
        }
        input.truncate(input.len() - cut.min(input.len() - 1));
        input.extend(tail);
        let limits = EngineContext::for_tests(Handle::new(1, Clock::new()).0).limits;
        if let Ok(Parsed::Complete(message)) = parse_message(&input, &limits) {
            let bytes = Bytes::copy_from_slice(&input[..message.length]);
            if let Message::Call(call) = message.slice(&bytes) {
                let statement = call.body.unwrap_or_default();
                let _ = (sql::data_set(&statement), sql::is_read_only(&statement));
            }
        }
    }

    #[test]
    fn any_statement_is_scanned_without_a_panic(statement in "[a-z_0-9.'\"/* \n-]{0,80}") {
        let statement = statement.as_bytes();
        let _ = (sql::data_set(statement), sql::is_read_only(statement));
    }
}
