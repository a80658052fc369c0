//! Runs dispatchers for the simulator. The adapter reads batches of events from standard input, and
//! writes a reply with the dispatchers' actions to standard output. It makes no decisions itself.
#![forbid(unsafe_code)]

mod decode;
mod encode;
mod frame;
mod host;

use frame::{Batch, FrameError};
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

/// Size of the buffers for standard input and output, in bytes.
const BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut host = host::Host::default();
    loop {
        let reply = match next_reply(&mut host, &mut input) {
            Ok(Some(reply)) => reply,
            Ok(None) => return ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("simulator-adapter: {error}");
                return ExitCode::FAILURE;
            }
        };
        let written = output.write_all(&reply).and_then(|()| output.flush());
        if written.is_err() {
            return ExitCode::FAILURE;
        }
    }
}

/// Reads one batch and returns its reply; `None` at the end of input.
fn next_reply(
    host: &mut host::Host,
    input: &mut impl io::Read,
) -> Result<Option<Vec<u8>>, FrameError> {
    let batch = Batch::read(input)?;
    batch.map(|batch| host.answer(&batch)).transpose()
}
