//! A query is planned over Flight SQL, the class becomes one that may run once, and the plan is
//! fetched seconds later. A connection to an engine is reset under the query.

use super::setup::{Protocol, Site, request};
use crate::config::{self, Machine};
use crate::flight_client::{fetch, plan};
use crate::grpc::Connection;
use crate::plan::{End, Plan, statement};
use crate::platform_client::Client;
use crate::{Run, Verdict};
use std::error::Error;
use std::time::Duration;
use tokio::time::sleep;

/// The new class is in use 1.2 s after SIGHUP.
const AFTER_RELOAD: Duration = Duration::from_millis(3000);

/// The status of gRPC for a refusal, which tells the client that another try is harmless.
const RESOURCE_EXHAUSTED: u32 = 8;

const ROWS: &str = "a\tb\tc\n";

pub async fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let machine = Machine {
        memory_mb: 192,
        sockets: 1024,
    };
    let site = Site::start(run, 3, Protocol::Lines, machine).await?;
    let plans = &site.plans;

    // Ordinary traffic of the class, one request of which is open when the configuration changes.
    let mut gateway = Client::connect("gateway", site.listen, record).await?;
    plans.set("ordinary", vec![Plan::new(2000, End::Serve(ROWS))]);
    let ordinary = statement("usage-report", "ordinary");
    gateway
        .send(&request(1, "usage-report", 15000, &ordinary, 6000))
        .await?;
    sleep(Duration::from_millis(200)).await;
    let connection = Connection::open(site.flight).await?;
    let early = plan(
        &connection,
        "usage-report",
        &statement("usage-report", "planned-before"),
        900,
    )
    .await?;
    record.line("flight client: planned-before is planned; it is not fetched yet");

    if run.trouble {
        let mut settings = config::settings();
        settings["classes"][1]["effect"] = "once".into();
        site.reload(&settings).await?;
        record.line("the new settings are loaded: usage-report may run once");
    }
    sleep(AFTER_RELOAD).await;

    let first_end = if run.trouble {
        End::Reset
    } else {
        End::Serve(ROWS)
    };
    let both = vec![Plan::new(300, first_end), Plan::new(300, End::Serve(ROWS))];
    plans.set("planned-before", both.clone());
    plans.set("planned-after", both);
    // For comparison: a query that is planned after the change.
    let late = plan(
        &connection,
        "usage-report",
        &statement("usage-report", "planned-after"),
        900,
    )
    .await?;
    let mut seen = Vec::new();
    for (label, ticket) in [("planned-after", late), ("planned-before", early)] {
        record.line(format!("flight client: fetches {label}"));
        let reply = fetch(&connection, &ticket, 15000).await?;
        record.line(format!(
            "flight client: {label}: status {:?} {:?}",
            reply.status, reply.message
        ));
        sleep(Duration::from_millis(300)).await;
        // The run had begun when its connection was reset, so it may have run. A further run, and a
        // refusal, are allowed only where every earlier run provably never ran.
        let runs = plans.arrivals_of(label).len();
        record.line(format!("{label}: {runs} run(s) on engines"));
        let after = AFTER_RELOAD.as_secs();
        if runs > 1 {
            seen.push(format!(
                "{label}, fetched {after} s after its class became `once`, ran {runs} times"
            ));
        } else if reply.status == Some(RESOURCE_EXHAUSTED) && runs > 0 {
            seen.push(format!(
                "{label}, fetched {after} s after its class became `once`, was refused after a run"
            ));
        }
    }
    site.manager.record_log();
    if run.trouble && !seen.is_empty() {
        return Ok(Verdict::Broken(seen.join("; ")));
    }
    Ok(Verdict::Held)
}
