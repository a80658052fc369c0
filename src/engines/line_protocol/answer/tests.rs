//! Tests that no input of an engine makes the parser panic.

use super::take_answer;
use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, any, proptest};

const ANSWERS: &[u8] = b"0000000000000001 served batches=1,cpu=5,used=3,l=rif:1 6\r\na\tb\tc\n\r\n\
    0000000000000002 update pct=40 0\r\n\r\n";

const MAX_HEAD_BYTES: usize = 4096;
const MAX_BODY_BYTES: usize = 6000;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4096))]

    /// Guards against an answer that ends the task of its connection: changed or cut answers are
    /// parsed or refused, and so are their fields and pages.
    #[test]
    fn changed_answers_are_parsed_without_a_panic(
        changes in vec((any::<usize>(), any::<u8>()), 0..4),
        cut in 0..100_usize,
    ) {
        let mut input = ANSWERS.to_vec();
        for (position, value) in changes {
            let position = position % input.len();
            input[position] = value;
        }
        input.truncate(input.len() - cut.min(input.len()));
        let mut buffer = BytesMut::from(&input[..]);
        while let Ok(Some(answer)) = take_answer(&mut buffer, MAX_HEAD_BYTES, MAX_BODY_BYTES) {
            let _ = (answer.whole_number("batches"), answer.number("cpu"));
            let _ = (answer.load_report(), answer.check_page());
        }
    }
}
