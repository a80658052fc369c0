//! Tests of the code that the front ends share.

pub(in crate::clients) mod test_frontend;

use super::is_out_of_resources;
use nix::errno::Errno;
use rstest::rstest;

/// An idle connection is evicted only after an error of `accept` that a closed connection can
/// resolve.
#[rstest]
#[case(Errno::EMFILE, true)]
#[case(Errno::ENFILE, true)]
#[case(Errno::ENOBUFS, true)]
#[case(Errno::ENOMEM, true)]
#[case(Errno::ECONNABORTED, false)]
#[case(Errno::EINTR, false)]
#[case(Errno::EPROTO, false)]
fn only_missing_descriptors_or_memory_count_as_out_of_resources(
    #[case] errno: Errno,
    #[case] expected: bool,
) {
    let error = std::io::Error::from_raw_os_error(errno as i32);
    assert_eq!(is_out_of_resources(&error), expected);
}
