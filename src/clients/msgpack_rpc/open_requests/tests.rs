//! Tests of the open requests of a connection, without sockets.

use super::{OpenRequest, OpenRequests};
use crate::core::{Answer, ClientPort};
use crate::decision::RequestId;
use futures::FutureExt;

fn open(requests: &OpenRequests, id: RequestId) {
    let request = OpenRequest {
        message_id: u64::from(id),
        outcomes: Default::default(),
    };
    requests.insert(id, request);
}

fn reject(requests: &OpenRequests, id: RequestId) {
    let answer = Answer::Rejected {
        retry_after_ms: 0.0,
    };
    requests.answer(id, answer);
}

/// The message id of the next answer that has arrived.
fn next_message_id(requests: &OpenRequests) -> Option<u64> {
    let answered = requests.next_answer().now_or_never();
    answered.map(|(request, _)| request.message_id)
}

/// However many requests are cancelled after their answers have arrived, the answers to the other
/// requests are kept.
#[test]
fn cancelled_requests_displace_no_answer() {
    let requests = OpenRequests::default();
    for id in 1..=1000 {
        open(&requests, id);
        reject(&requests, id);
        if id % 100 != 0 {
            assert_eq!(requests.cancel(u64::from(id)), Some(id));
        }
    }
    for id in 1..=10 {
        assert_eq!(next_message_id(&requests), Some(id * 100));
    }
    assert_eq!(next_message_id(&requests), None);
    assert!(requests.is_empty());
}

/// The memory for answers is bounded by the number of open requests: an answer to a request that is
/// cancelled, answered or unknown is not stored.
#[test]
fn stored_answers_never_outnumber_open_requests() {
    let requests = OpenRequests::default();
    open(&requests, 1);
    open(&requests, 2);
    reject(&requests, 1);
    reject(&requests, 1);
    reject(&requests, 3);
    requests.cancel(2);
    reject(&requests, 2);
    let state = requests.state();
    assert_eq!((state.requests.len(), state.answers.len()), (1, 1));
}

#[test]
fn cancellation_drops_an_answer_that_has_arrived() {
    let requests = OpenRequests::default();
    open(&requests, 1);
    reject(&requests, 1);
    assert_eq!(requests.cancel(1), Some(1));
    assert_eq!(next_message_id(&requests), None);
    assert_eq!(requests.cancel(1), None);
}

#[test]
fn no_answer_is_stored_once_all_requests_are_cancelled() {
    let requests = OpenRequests::default();
    open(&requests, 1);
    open(&requests, 2);
    let mut ids = requests.cancel_all();
    ids.sort_unstable();
    assert_eq!(ids, [1, 2]);
    reject(&requests, 1);
    assert_eq!(next_message_id(&requests), None);
}
