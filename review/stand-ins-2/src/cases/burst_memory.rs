//! Bad clients send many bulk loads at once. The platform kills a process over its memory limit.

use super::setup::{Protocol, Site, request};
use crate::config::Machine;
use crate::plan::{End, Plan, statement};
use crate::platform_client::Client;
use crate::{Run, Verdict};
use std::error::Error;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The machine of the workload manager: the smallest that the operators name.
const MACHINE: Machine = Machine {
    memory_mb: 32,
    sockets: 256,
};

/// Bad clients, with a connection each. Clients hold at most a third of the descriptors: 85.
const BAD_CLIENTS: usize = 40;

/// Loads that each of them sends at once. One connection carries up to 32 open requests.
const LOADS_AT_ONCE: u64 = 30;

/// Size of a bulk load in bytes.
const LOAD_BYTES: usize = 60_000;

/// Clients that send at the same time where there is no burst.
const WAVE: usize = 5;

/// A final answer still counts half a second after the time of its request; each time limit is 50
/// ms longer on sockets.
const SLACK: Duration = Duration::from_millis(550);

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let mut site = Site::start(run, 8, Protocol::Lines, MACHINE).await?;
    let mut platform = Platform {
        highest_kb: 0,
        has_killed: false,
    };
    platform.check(&mut site);
    record.line(format!(
        "anonymous memory at the start: {} kB",
        platform.highest_kb
    ));

    // A usual client with an open request.
    let mut gateway = Client::connect("gateway", site.listen, record).await?;
    site.plans
        .set("usual", vec![Plan::new(3000, End::Serve("a\tb\tc\n"))]);
    let usual = statement("log-load", "usual");
    let usual_sent = gateway
        .send(&request(1, "log-load", 9000, &usual, 6000))
        .await?;

    let mut clients = Vec::new();
    while clients.len() < BAD_CLIENTS {
        let first = clients.len();
        for number in first..first + WAVE {
            let name = format!("client-{number}");
            clients.push(Client::connect(&name, site.listen, record).await?);
        }
        send_and_wait(&site, first, &mut clients[first..], 1).await?;
        platform.check(&mut site);
    }
    record.line(format!(
        "highest after one load of each client: {} kB",
        platform.highest_kb
    ));
    if run.trouble {
        for (number, client) in clients.iter_mut().enumerate() {
            let mut burst = Vec::new();
            for id in 2..2 + LOADS_AT_ONCE {
                let text = load(&site, number, id);
                burst.extend(client.encode(&request(id, "log-load", 9000, &text, 100)));
            }
            let last = request(1 + LOADS_AT_ONCE, "log-load", 9000, "", 100);
            // Fails if the process has been killed.
            let _ = client.send_pieces(&last, &[&burst], 0).await;
            platform.check(&mut site);
        }
    } else {
        for id in 2..2 + LOADS_AT_ONCE {
            for (wave, clients) in clients.chunks_mut(WAVE).enumerate() {
                send_and_wait(&site, wave * WAVE, clients, id).await?;
                platform.check(&mut site);
            }
        }
    }
    for _ in 0..100 {
        platform.check(&mut site);
        sleep(Duration::from_millis(10)).await;
    }
    gateway
        .wait(1, usual_sent + Duration::from_millis(9000) + SLACK)
        .await;
    let answers = gateway.answers(1).len();
    let limit_kb = MACHINE.memory_mb * 1024;
    record.line(format!(
        "highest anonymous memory: {} kB of {limit_kb} kB",
        platform.highest_kb
    ));
    record.line(format!("killed for memory: {}", platform.has_killed));
    record.line(format!(
        "the request of the usual client: {answers} answer(s)"
    ));
    site.manager.record_log();
    if !platform.has_killed {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "the process took {} kB of anonymous memory and is killed over {limit_kb} kB; a usual \
         client's open log-load got {answers} answers",
        platform.highest_kb
    )))
}

/// The platform, as far as it watches the memory.
struct Platform {
    highest_kb: u64,
    has_killed: bool,
}

impl Platform {
    /// Kills the process if it is over its limit. Only its anonymous memory is counted here.
    fn check(&mut self, site: &mut Site) {
        let kb = site.manager.anonymous_memory_kb().unwrap_or(0);
        self.highest_kb = self.highest_kb.max(kb);
        if kb > u64::from(MACHINE.memory_mb) * 1024 && !self.has_killed {
            self.has_killed = true;
            site.plans.note(format!(
                "platform: {kb} kB, the process is killed for memory"
            ));
            site.manager.kill();
        }
    }
}

/// Each of these clients sends one load and waits for its answer.
async fn send_and_wait(
    site: &Site,
    first: usize,
    clients: &mut [Client],
    id: u64,
) -> Result<(), Box<dyn Error>> {
    for (number, client) in (first..).zip(clients.iter_mut()) {
        let text = load(site, number, id);
        client
            .send(&request(id, "log-load", 9000, &text, 100))
            .await?;
    }
    for client in clients {
        client
            .wait(id, Instant::now() + Duration::from_secs(3))
            .await;
    }
    Ok(())
}

/// The statement of a bulk load.
fn load(site: &Site, client: usize, id: u64) -> String {
    let label = format!("load-{client}-{id}");
    site.plans
        .set(&label, vec![Plan::new(5, End::Serve("a\tb\tc\n"))]);
    let row = "(17, 12, 4), ";
    let rows = row.repeat(LOAD_BYTES / row.len());
    format!("INSERT INTO lic_7.log VALUES {rows}(0, 0, 0) -- {label}")
}
