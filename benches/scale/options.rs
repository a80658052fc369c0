//! Command-line options of the scale tests.

use super::fleet;
use clap::{Parser, ValueEnum};
use std::path::PathBuf;

/// A scale test that can be selected on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Test {
    /// Processor time of a request and of a timer tick, by the number of listed engines.
    Decision,
    /// Cost of the endpoint list, and the time until every manager has applied a change of it.
    List,
    /// Cost of a configuration reload in a real process, by the number of listed engines.
    Reload,
    /// Cost of statements, of connections and of the work without clients (control) in a real
    /// process, by the number of listed engines.
    Manager,
    /// Balance, zones, churn and budget shares of the fleet's engine subsets, by the number of
    /// listed engines.
    Subset,
}

impl Test {
    /// The test's name on the command line and in its result rows.
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

/// Which tests run, and at which sizes.
#[derive(Clone, Debug, Parser)]
#[command(name = "scale", about = "Scale tests of magpiechute")]
pub(crate) struct Options {
    /// Tests to run; all of them if none is given.
    #[arg(value_enum)]
    pub tests: Vec<Test>,
    /// Uses small sizes that finish within seconds; their figures do not predict the full sizes.
    #[arg(long)]
    pub small: bool,
    /// Also writes the result rows to this file.
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
    /// Numbers of listed engines; the figures of the largest are predicted from the others.
    #[arg(long, value_delimiter = ',', value_name = "N,N,...")]
    pub listed: Vec<usize>,
    /// Number of managers in the fleet, as given in the settings.
    #[arg(long, default_value_t = fleet::MANAGERS)]
    pub managers: u32,
    /// Memory of a manager, in MB; its limits are derived from this.
    #[arg(long, default_value_t = fleet::MEMORY_MB)]
    pub memory_mb: usize,
    /// Only measures the memory of managers with this many listed engines, in this process.
    #[arg(long, hide = true)]
    pub(super) memory_of: Option<usize>,
    /// Number of managers whose memory is measured with `--memory-of`.
    #[arg(long, hide = true, default_value_t = 1)]
    pub(super) memory_managers: usize,
    /// Path of this program, which is started again to measure memory in a separate process.
    #[arg(skip)]
    pub(super) program: Option<PathBuf>,
    /// Passed by `cargo bench`; has no effect.
    #[arg(long, hide = true)]
    bench: bool,
}

impl Options {
    /// Options that run the small case of the given tests.
    #[allow(
        dead_code,
        reason = "called by tests/scale.rs, which includes this module"
    )]
    pub(crate) fn small(tests: &[Test]) -> Options {
        let mut options = Options::parse_from(["scale", "--small"]);
        options.tests = tests.to_vec();
        options
    }

    /// The numbers of listed engines to measure, ascending.
    pub(crate) fn list_sizes(&self) -> Vec<usize> {
        self.list_sizes_or(&fleet::LIST_SIZES, &fleet::LIST_SIZES_SMALL)
    }

    /// Like [`Options::list_sizes`], for a test with its own full and small sizes.
    pub(crate) fn list_sizes_or(&self, full: &[usize], small: &[usize]) -> Vec<usize> {
        let mut sizes = match (self.listed.is_empty(), self.small) {
            (false, _) => self.listed.clone(),
            (true, true) => small.to_vec(),
            (true, false) => full.to_vec(),
        };
        sizes.sort_unstable();
        sizes
    }

    /// Maximum number of in-process managers in one process.
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
