//! The cases, each in a module of its own.

mod burst_memory;
mod crowded_input;
mod evicted_reader;
mod flight_memory;
mod flight_rush;
mod reload_ticket;
mod setup;
mod silent_streams;
mod spoilt_result;
mod upgrade_eject;
mod upgrade_rush;
mod vanished_class;

use crate::{Run, Verdict};
use std::error::Error;

/// Plays the case with this name.
pub async fn play(case: &str, run: &Run) -> Result<Verdict, Box<dyn Error>> {
    match case {
        "reload-ticket" => reload_ticket::play(run).await,
        "burst-memory" => burst_memory::play(run).await,
        "crowded-input" => crowded_input::play(run).await,
        "spoilt-result" => spoilt_result::play(run).await,
        "flight-memory" => flight_memory::play(run).await,
        "upgrade-rush" => upgrade_rush::play(run).await,
        "vanished-class" => vanished_class::play(run).await,
        "evicted-reader" => evicted_reader::play(run).await,
        "silent-streams" => silent_streams::play(run).await,
        "flight-rush" => flight_rush::play(run).await,
        "upgrade-eject" => upgrade_eject::play(run).await,
        _ => Err(format!("no such case: {case}").into()),
    }
}
