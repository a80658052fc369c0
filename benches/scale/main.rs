//! Scale tests: the cost of a workload manager and of its discovery feed, by the size of the fleet.
//! `make scale` runs all of them. Each result row is one line of JSON on standard output, and also
//! in the file given with `--out`.

mod churn;
mod clients;
mod configuration;
mod decision;
mod engines;
mod feed;
pub(crate) mod fit;
mod fleet;
mod in_process_manager;
mod list;
mod list_capacity;
mod list_cost;
mod list_propagation;
mod list_reconnect;
mod manager;
mod manager_group;
mod manager_process;
mod manager_rows;
mod memory;
mod messages;
pub(crate) mod options;
mod recording_ports;
mod reload;
pub(crate) mod row;
mod server_load;
mod statement_counters;
mod subset;
mod usage;

use clap::Parser;
use options::{Options, Test};
use row::Output;
use std::process::ExitCode;

/// Runs the selected tests one after another. Each test writes a row as soon as it is measured.
pub(crate) fn run(options: &Options, output: &mut Output) -> Result<(), row::ScaleError> {
    if let Some(listed) = options.memory_of {
        return memory::report(options, listed, output);
    }
    if options.includes(Test::Decision) {
        decision::run(options, output)?;
    }
    if options.includes(Test::List) {
        list::run(options, output)?;
    }
    if options.includes(Test::Reload) {
        reload::run(options, output)?;
    }
    if options.includes(Test::Manager) {
        manager::run(options, output)?;
    }
    if options.includes(Test::Subset) {
        subset::run(options, output)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut options = Options::parse();
    options.program = std::env::current_exe().ok();
    let result =
        Output::new(options.out.as_deref()).and_then(|mut output| run(&options, &mut output));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("scale: {failure}");
            ExitCode::FAILURE
        }
    }
}
