//! Hosts gateways on the simulator's wire: standard input to standard output. It only translates.
#![forbid(unsafe_code)]

mod frame;
mod host;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut host = host::Host::default();
    loop {
        let batch = match frame::read(&mut input) {
            Ok(Some(batch)) => batch,
            Ok(None) => return ExitCode::SUCCESS,
            Err(problem) => {
                eprintln!("simulator-adapter: {problem}");
                return ExitCode::FAILURE;
            }
        };
        let reply = match host.answer(&batch) {
            Ok(reply) => reply,
            Err(problem) => {
                eprintln!("simulator-adapter: {problem}");
                return ExitCode::FAILURE;
            }
        };
        if output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .is_err()
        {
            return ExitCode::FAILURE;
        }
    }
}
