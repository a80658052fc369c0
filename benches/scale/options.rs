//! Command-line options of the scale tests.

use super::fleet;
use clap::{Parser, ValueEnum};
use std::path::PathBuf;

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
    /// Balance, zones, churn and shares of engine subsets over a fleet, by listed engines.
    Subset,
}

impl Test {
    /// The test's name on the command line and in its rows.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Test::Decision => "decision",
            Test::List => "list",
            Test::Reload => "reload",
            Test::Manager => "manager",
            Test::Subset => "subset",
        }
    }
}

/// Which tests run, and how large.
#[derive(Clone, Debug, Parser)]
#[command(name = "scale", about = "Scale tests of magpiechute")]
pub(crate) struct Options {
    /// Tests to run; all of them where none is named.
    #[arg(value_enum)]
    pub tests: Vec<Test>,
    /// Small sizes that end within seconds; their figures do not predict a full size.
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
    /// Only measures, in this process, the memory of managers with this many listed engines.
    #[arg(long, hide = true)]
    pub(super) memory_of: Option<usize>,
    /// Number of these managers.
    #[arg(long, hide = true, default_value_t = 1)]
    pub(super) memory_managers: usize,
    /// This program, to measure memory in a process of its own.
    #[arg(skip)]
    pub(super) program: Option<PathBuf>,
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
    pub(crate) fn list_sizes(&self) -> Vec<usize> {
        self.list_sizes_or(&fleet::LIST_SIZES, &fleet::LIST_SIZES_SMALL)
    }

    /// The same for a test with sizes of its own, and those of its small case.
    pub(crate) fn list_sizes_or(&self, full: &[usize], small: &[usize]) -> Vec<usize> {
        let mut sizes = match (self.listed.is_empty(), self.small) {
            (false, _) => self.listed.clone(),
            (true, true) => small.to_vec(),
            (true, false) => full.to_vec(),
        };
        sizes.sort_unstable();
        sizes
    }

    /// In-process managers that one process holds at most.
    pub(crate) fn max_managers(&self) -> usize {
        if self.small {
            fleet::MAX_IN_PROCESS_MANAGERS_SMALL
        } else {
            fleet::MAX_IN_PROCESS_MANAGERS
        }
    }

    pub(super) fn includes(&self, test: Test) -> bool {
        self.tests.is_empty() || self.tests.contains(&test)
    }
}
