//! Flight SQL clients go silent while large results stream to them. The memory of the process is
//! compared with its limit. The results are larger than the 48,000 bytes that the protocol page
//! allows a platform client.

use super::setup::{Protocol, Site};
use crate::config::Machine;
use crate::flight_client::{fetch, plan};
use crate::grpc::Connection;
use crate::plan::{End, Plan, statement};
use crate::{Run, Verdict};
use prost::Message;
use std::error::Error;
use std::time::Duration;
use tokio::time::sleep;

const MACHINE: Machine = Machine {
    memory_mb: 32,
    sockets: 256,
};

/// Clients with one result each.
const CLIENTS: usize = 6;

/// Batches of a result after the first one, and the bytes of each.
const BATCHES: usize = 20;
const BATCH_BYTES: usize = 1_500_000;

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let site = Site::start(run, 4, Protocol::Flight, MACHINE).await?;
    for number in 0..CLIENTS {
        let label = format!("report-{number}");
        let large = End::ServeLarge(BATCHES, BATCH_BYTES);
        site.plans.set(&label, vec![Plan::new(20, large)]);
        let text = statement("usage-report", &label);
        let connection = Connection::open(site.flight).await?;
        let ticket = plan(&connection, "usage-report", &text, 60).await?;
        let (record, is_silent) = (record.clone(), run.trouble);
        tokio::spawn(async move {
            let seen = if is_silent {
                let message = ticket.encode_to_vec();
                let called = connection.call_and_go_silent("DoGet", &message).await;
                called.map(|()| "was silent".to_owned())
            } else {
                let reply = fetch(&connection, &ticket, 15000).await;
                reply.map(|reply| format!("status {:?}", reply.status))
            };
            record.line(format!(
                "{label}: {}",
                seen.unwrap_or_else(|error| error.to_string())
            ));
        });
        sleep(Duration::from_millis(200)).await;
    }
    let mut peak = 0;
    for _ in 0..100 {
        peak = peak.max(site.manager.anonymous_memory_kb().unwrap_or(0));
        sleep(Duration::from_millis(20)).await;
    }
    let limit = u64::from(MACHINE.memory_mb) * 1024;
    record.line(format!("highest anonymous memory: {peak} kB of {limit} kB"));
    site.manager.record_log();
    if peak <= limit {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "the process took {peak} kB of anonymous memory of {limit} kB"
    )))
}
