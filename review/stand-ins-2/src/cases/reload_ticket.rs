//! A query is planned over Flight SQL, the class becomes one that may run once, and the plan is
//! fetched seconds later, as a new request. A connection to an engine is reset under it.

use super::setup::{Protocol, Site, request};
use crate::config::{self, Machine};
use crate::flight_client::{fetch, plan};
use crate::grpc::Connection;
use crate::plan::{End, Plan, statement};
use crate::platform_client::Client;
use crate::{Run, Verdict};
use std::error::Error;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The new class is in use 1.2 s after SIGHUP.
const AFTER_RELOAD: Duration = Duration::from_millis(3000);

/// The status of gRPC for a refusal, which tells the client that another try is harmless.
const RESOURCE_EXHAUSTED: u32 = 8;

const CLASS: &str = "usage-report";

/// Time in ms that a query runs, and its work on three threads.
const RUNS_FOR_MS: u64 = 300;
const WORK_MS: u64 = 900;

const ROWS: &str = "a\tb\tc\n";

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let machine = Machine {
        memory_mb: 192,
        sockets: 1024,
    };
    let site = Site::start(run, 3, Protocol::Lines, machine).await?;
    let plans = &site.plans;
    let serve = || Plan::new(RUNS_FOR_MS, End::Serve(ROWS));
    let first_end = if run.trouble {
        End::Reset
    } else {
        End::Serve(ROWS)
    };
    let later = vec![Plan::new(RUNS_FOR_MS, first_end), serve()];
    plans.set("fetched-before", [vec![serve()], later.clone()].concat());
    plans.set("planned-before", later.clone());
    plans.set("planned-after", later);

    // Ordinary traffic of the class, one request of which is open when the configuration changes.
    let mut gateway = Client::connect("gateway", site.listen, record).await?;
    plans.set("ordinary", vec![Plan::new(2000, End::Serve(ROWS))]);
    let ordinary = statement(CLASS, "ordinary");
    gateway
        .send(&request(1, CLASS, 15000, &ordinary, 6000))
        .await?;
    sleep(Duration::from_millis(200)).await;

    // One plan is fetched at once, and will be fetched again. The other one is fetched later only.
    let connection = Connection::open(site.flight).await?;
    let query = |label: &str| statement(CLASS, label);
    let fetched = plan(&connection, CLASS, &query("fetched-before"), WORK_MS).await?;
    let reply = fetch(&connection, &fetched, 15000).await?;
    record.line(format!(
        "flight client: fetched-before: status {:?}",
        reply.status
    ));
    let planned = plan(&connection, CLASS, &query("planned-before"), WORK_MS).await?;
    record.line("flight client: planned-before is planned");

    if run.trouble {
        let mut settings = config::settings();
        settings["classes"][1]["effect"] = "once".into();
        site.reload(&settings).await?;
        record.line("the new settings are loaded: usage-report may run once");
    }
    let reloaded_at = Instant::now();
    sleep(AFTER_RELOAD).await;

    // For comparison: a query that is planned after the change.
    let late = plan(&connection, CLASS, &query("planned-after"), WORK_MS).await?;
    let mut seen = Vec::new();
    let tickets = [
        ("planned-after", late),
        ("fetched-before", fetched),
        ("planned-before", planned),
    ];
    for (label, ticket) in tickets {
        record.line(format!("flight client: fetches {label}"));
        let reply = fetch(&connection, &ticket, 15000).await?;
        record.line(format!(
            "flight client: {label}: status {:?} {:?}",
            reply.status, reply.message
        ));
        sleep(Duration::from_millis(300)).await;
        // The run had begun when its connection was reset, so it may have run. A further run, and a
        // refusal, are allowed only where every earlier run provably never ran.
        let runs = plans.arrivals_of(label);
        let runs = runs.iter().filter(|run| run.at > reloaded_at).count();
        record.line(format!(
            "{label}: {runs} run(s) on engines for this request"
        ));
        let after = AFTER_RELOAD.as_secs();
        let taken = format!("{label}, taken {after} s after its class became `once`");
        if runs > 1 {
            seen.push(format!("{taken}, ran {runs} times"));
        } else if reply.status == Some(RESOURCE_EXHAUSTED) && runs > 0 {
            seen.push(format!("{taken}, was refused after a run"));
        }
    }
    site.manager.record_log();
    if run.trouble && !seen.is_empty() {
        return Ok(Verdict::Broken(seen.join("; ")));
    }
    Ok(Verdict::Held)
}
