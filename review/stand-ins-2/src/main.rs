//! The cases of the second independent review. `review-stand-ins-2 CASE FOLDER` plays one case from
//! the root of the repository and writes `record.txt` to FOLDER. The exit code is 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod config;
mod feed;
mod flight_client;
mod flight_engine;
mod grpc;
mod line_engine;
mod manager;
mod plan;
mod platform_client;
mod record;

use record::Record;
use std::error::Error;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::timeout;

/// The outcome of a case.
pub enum Verdict {
    Held,
    /// The rule was broken: what was seen.
    Broken(String),
}

/// What every case gets.
pub struct Run {
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// The longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-stand-ins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let played = runtime.map_err(Box::from).and_then(|runtime| {
        let record = Record::create(Path::new(folder))?;
        record.line(format!("case {case}, trouble: {trouble}"));
        let run = Run { record, trouble };
        let result = runtime.block_on(async {
            timeout(TIME_LIMIT, cases::play(case, &run))
                .await
                .unwrap_or_else(|_| Err("out of time".into()))
        });
        match &result {
            Ok(Verdict::Held) => run.record.line("the rule held"),
            Ok(Verdict::Broken(seen)) => run.record.line(format!("the rule was broken: {seen}")),
            Err(error) => run.record.line(format!("the case could not run: {error}")),
        }
        result
    });
    report(played)
}

fn report(played: Result<Verdict, Box<dyn Error>>) -> ExitCode {
    match played {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(seen)) => {
            println!("the rule was broken: {seen}");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
