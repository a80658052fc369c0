//! Scale tests: what a workload manager and its list feed cost by the size of the fleet. `make scale` plays all of
//! them; each figure is one line of JSON on standard output, and in a file where `--out` names one.

mod churn;
mod clients;
mod configuration;
mod cost;
mod crowd;
mod decision;
mod engines;
mod feed;
pub(crate) mod fit;
mod fleet;
mod hollow;
mod list;
mod load;
mod manager;
mod manager_rows;
mod memory;
mod messages;
mod process;
mod reload;
mod returning;
pub(crate) mod row;
mod spread;
mod subset;
mod usage;

use clap::{Parser, ValueEnum};
use row::Output;
use std::path::PathBuf;
use std::process::ExitCode;

/// A scale test by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Test {
    /// Processor time of a request and a tick, by listed engines.
    Decision,
    /// What the list costs, and how soon a change of it is in force everywhere.
    List,
    /// What a changed configuration costs a real process, by listed engines.
    Reload,
    /// What statements, control and connections cost a real process, by listed engines.
    Manager,
    /// Balance, zones, churn and shares of engine subsets over a whole fleet, by listed engines.
    Subset,
}

/// Which tests run, and how large.
#[derive(Clone, Debug, Parser)]
#[command(name = "scale", about = "Scale tests of magpiechute")]
pub(crate) struct Options {
    /// Tests to run; all of them where none is named.
    #[arg(value_enum)]
    pub tests: Vec<Test>,
    /// Small sizes that end within seconds; their figures say nothing of a full size.
    #[arg(long)]
    pub small: bool,
    /// Writes the rows to this file too.
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
    /// Listed engines, ascending; the largest is predicted from the others.
    #[arg(long, value_delimiter = ',', value_name = "N,N,...")]
    pub listed: Vec<usize>,
    /// Managers of the fleet, as the settings say.
    #[arg(long, default_value_t = fleet::MANAGERS)]
    pub managers: u32,
    /// Memory of a manager, in MB: the limits follow it.
    #[arg(long, default_value_t = fleet::MEMORY_MB)]
    pub memory_mb: usize,
    /// Measures the memory of managers with so many listed engines in this process, and nothing else.
    #[arg(long, hide = true)]
    memory_of: Option<usize>,
    /// So many of them.
    #[arg(long, hide = true, default_value_t = 1)]
    memory_managers: usize,
    /// This program, to measure memory in a process of its own.
    #[arg(skip)]
    program: Option<PathBuf>,
    /// Given by `cargo bench`; it changes nothing.
    #[arg(long, hide = true)]
    bench: bool,
}

impl Options {
    /// The small case of these tests.
    #[allow(
        dead_code,
        reason = "called by tests/scale.rs, which includes this module"
    )]
    pub(crate) fn small(tests: &[Test]) -> Options {
        let mut options = Options::parse_from(["scale", "--small"]);
        options.tests = tests.to_vec();
        options
    }

    /// The numbers of listed engines, ascending.
    pub(crate) fn listed(&self) -> Vec<usize> {
        self.listed_or(&fleet::LISTED, &fleet::LISTED_SMALL)
    }

    /// The same for a test with sizes of its own, and those of its small case.
    pub(crate) fn listed_or(&self, full: &[usize], small: &[usize]) -> Vec<usize> {
        let mut sizes = match (self.listed.is_empty(), self.small) {
            (false, _) => self.listed.clone(),
            (true, true) => small.to_vec(),
            (true, false) => full.to_vec(),
        };
        sizes.sort_unstable();
        sizes
    }

    /// Hollow managers that one process holds at most.
    pub(crate) fn most_managers(&self) -> usize {
        if self.small {
            fleet::HOLLOW_SMALL
        } else {
            fleet::HOLLOW
        }
    }

    fn runs(&self, test: Test) -> bool {
        self.tests.is_empty() || self.tests.contains(&test)
    }
}

/// Runs the chosen tests one after another; each writes its rows as it goes.
pub(crate) fn run(options: &Options, output: &mut Output) -> Result<(), row::Failure> {
    if let Some(listed) = options.memory_of {
        return memory::report(options, listed, output);
    }
    if options.runs(Test::Decision) {
        decision::run(options, output)?;
    }
    if options.runs(Test::List) {
        list::run(options, output)?;
    }
    if options.runs(Test::Reload) {
        reload::run(options, output)?;
    }
    if options.runs(Test::Manager) {
        manager::run(options, output)?;
    }
    if options.runs(Test::Subset) {
        subset::run(options, output)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let options = Options {
        program: std::env::current_exe().ok(),
        ..Options::parse()
    };
    let done =
        Output::new(options.out.as_deref()).and_then(|mut output| run(&options, &mut output));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("scale: {failure}");
            ExitCode::FAILURE
        }
    }
}
