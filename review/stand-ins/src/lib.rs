//! Stand-ins for the platform, clients, engines and the control feed, for the cases of the review.
//! They use the standard library alone, loopback addresses and free ports.

pub mod feed;
pub mod flight_client;
pub mod flight_engine;
mod flight_rows;
pub mod line_engine;
pub mod manager;
pub mod msgpack;
pub mod record;

/// Whether the disruption of the case takes place: `TROUBLE=0` leaves it out.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// How a case ends, as the exit code of its script.
pub enum Verdict {
    /// 0: the rule held.
    Held,
    /// 1: the rule was broken.
    Broken,
    /// 2: the case could not run.
    NotRun,
}

/// Runs a case and exits with the code of its verdict. A panic counts as "could not run".
pub fn run_case(case: impl FnOnce() -> Verdict + std::panic::UnwindSafe) -> ! {
    let code = match std::panic::catch_unwind(case) {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::NotRun) | Err(_) => 2,
    };
    std::process::exit(code);
}
