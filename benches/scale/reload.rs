//! `reload`: what a changed configuration costs one real workload manager, by the engines that it knows. The file is
//! replaced and SIGHUP sent, with the list in the file's `known` (whole) and without it (settings only).

use super::configuration::{self, Configuration};
use super::feed::{Feed, HEARTBEAT_INTERVAL};
use super::fit::{Figure, Point, Prediction};
use super::manager_process::ManagerProcess;
use super::options::{Options, Test};
use super::row::{Output, ScaleError, Size, rounded};
use serde::Serialize;
use serde_json::Value;
use std::thread;
use std::time::{Duration, Instant};

const TEST: &str = Test::Reload.name();
const SOCKETS: usize = 1_024;
/// Engines that the list names; none of them is connected to.
const ENGINE_PORT: u16 = 5_050;
const LISTED: [usize; 5] = [100, 1_000, 4_096, 10_000, 22_000];
const LISTED_SMALL: [usize; 4] = [10, 20, 40, 80];
/// What a manager may spend on control: of a core, and bytes a second.
const BUDGET_CORE: f64 = 0.012;
const BUDGET_BYTES_PER_SECOND: f64 = 8_000.0;
/// Changes of configuration a minute: 33,000 a day.
const NEEDED_PER_MINUTE: f64 = 33_000.0 / (24.0 * 60.0);
const MEGABYTE: f64 = 1e6;

/// How much is played at each size. ReloadCounters come in blocks, each after a stretch at rest, so that a machine which
/// becomes slower or faster meanwhile does so in both.
struct Effort {
    blocks: usize,
    reloads_in_block: usize,
    rest: Duration,
    /// After a reload, so that the work that it leaves behind is over.
    pause: Duration,
}

const FULL: Effort = Effort {
    blocks: 20,
    reloads_in_block: 10,
    rest: Duration::from_secs(1),
    pause: Duration::from_millis(20),
};
const SMALL: Effort = Effort {
    blocks: 2,
    reloads_in_block: 2,
    rest: Duration::from_millis(50),
    pause: Duration::from_millis(10),
};

/// What the file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConfigurationForm {
    /// The settings, and in `known` the full list.
    Full,
    /// The settings, and no event in `known`.
    SettingsOnly,
}

impl ConfigurationForm {
    /// The part of the test in its rows.
    fn part(self) -> &'static str {
        match self {
            ConfigurationForm::Full => "whole",
            ConfigurationForm::SettingsOnly => "settings_only",
        }
    }

    /// A class that only the last configuration of this form's series has.
    fn last_class(self) -> &'static str {
        match self {
            ConfigurationForm::Full => "audit-whole",
            ConfigurationForm::SettingsOnly => "audit-settings-only",
        }
    }
}

#[derive(Serialize)]
struct ReloadRow {
    #[serde(flatten)]
    size: Size,
    #[serde(skip)]
    form: ConfigurationForm,
    memory_mb: usize,
    /// Engines that the roster has taken up, and those that wait for a place.
    known: u64,
    waiting: u64,
    reloads: usize,
    /// Bytes of one file.
    bytes: usize,
    /// Processor time of one reload, without what the process spends at rest, and the standard error of that mean
    /// over the blocks.
    ms_reload: f64,
    ms_reload_error: f64,
    /// From SIGHUP to the settings in force: the median and the most.
    ms_in_force: f64,
    ms_in_force_most: f64,
    /// Resident before the series and after it, and how far the peak rose above the first.
    mb_before: f64,
    mb_after: f64,
    mb_peak_above: f64,
    /// Of a core, at rest, in percent.
    percent_core_at_rest: f64,
    /// ReloadCounters a minute within 1.2% of a core, within 8,000 bytes a second, and within both.
    per_minute_by_core: f64,
    per_minute_by_bytes: f64,
    per_minute: f64,
    needed_per_minute: f64,
}

/// Plays all sizes but the largest, predicts that one, and plays it.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<(), ScaleError> {
    let sizes = options.listed_or(&LISTED, &LISTED_SMALL);
    let Some((largest, smaller)) = sizes.split_last() else {
        return Ok(());
    };
    let mut rows = Vec::new();
    for listed in smaller {
        rows.extend(play(options, output, *listed)?);
    }
    let predictions = predict(output, &rows, *largest)?;
    let measured = play(options, output, *largest)?;
    for (form, reading, prediction) in &predictions {
        for row in measured.iter().filter(|row| row.form == *form) {
            prediction.check(output, reading(row))?;
        }
    }
    Ok(())
}

/// How to read a figure off a row.
type Reading = fn(&ReloadRow) -> f64;
type Predicted = (ConfigurationForm, Reading, Prediction);

/// The figures that are fitted, of each form.
fn predict(
    output: &mut Output,
    rows: &[ReloadRow],
    size: usize,
) -> Result<Vec<Predicted>, ScaleError> {
    let figures: [(ConfigurationForm, &'static str, Reading); 4] = [
        (ConfigurationForm::Full, "ms_reload_whole", |row| {
            row.ms_reload
        }),
        (ConfigurationForm::Full, "mb_peak_above_whole", |row| {
            row.mb_peak_above
        }),
        (ConfigurationForm::Full, "bytes_whole", |row| {
            row.bytes as f64
        }),
        (
            ConfigurationForm::SettingsOnly,
            "ms_reload_settings_only",
            |row| row.ms_reload,
        ),
    ];
    let mut predictions = Vec::new();
    for (form, figure, reading) in figures {
        let of_form = rows.iter().filter(|row| row.form == form);
        let points: Vec<Point> = of_form
            .map(|row| (row.size.listed as f64, reading(row)))
            .collect();
        let figure = Figure {
            test: TEST,
            figure,
            over: "listed",
        };
        predictions.push((
            form,
            reading,
            Prediction::write(output, figure, &points, size as f64)?,
        ));
    }
    Ok(predictions)
}

/// Plays both forms on one process that knows this many engines.
fn play(
    options: &Options,
    output: &mut Output,
    listed: usize,
) -> Result<Vec<ReloadRow>, ScaleError> {
    let list = configuration::listed(listed, ENGINE_PORT);
    let feed = Feed::start(&configuration::first_event(&list), HEARTBEAT_INTERVAL)?;
    let usual = Configuration {
        feed: feed.address,
        sockets: SOCKETS,
        memory_mb: options.memory_mb,
        managers: options.managers,
        listed: &list,
    };
    let manager = ManagerProcess::start(TEST, &usual.value().to_string())?;
    let settings_only = Configuration {
        listed: &[],
        ..usual
    };
    let forms = [
        (ConfigurationForm::SettingsOnly, settings_only.value()),
        (ConfigurationForm::Full, usual.value()),
    ];
    let mut rows = Vec::new();
    for (form, value) in forms {
        let row = series(options, &manager, listed, form, &value)?;
        output.row(&row)?;
        rows.push(row);
    }
    Ok(rows)
}

/// The files of a series: each differs from the one before, and the last one has a further class.
struct ConfigurationSeries([String; 3]);

impl ConfigurationSeries {
    fn new(value: &Value, last_class: &str) -> ConfigurationSeries {
        let with = |points: u32| {
            let mut value = value.clone();
            value["settings"]["classes"][0]["points"] = points.into();
            value
        };
        let mut last = with(1);
        let mut class = last["settings"]["classes"][0].clone();
        class["name"] = last_class.into();
        if let Some(classes) = last["settings"]["classes"].as_array_mut() {
            classes.push(class);
        }
        ConfigurationSeries([with(2).to_string(), with(3).to_string(), last.to_string()])
    }

    fn nth(&self, n: usize) -> &str {
        &self.0[n % 2]
    }

    fn last(&self) -> &str {
        &self.0[2]
    }
}

fn series(
    options: &Options,
    manager: &ManagerProcess,
    listed: usize,
    form: ConfigurationForm,
    value: &Value,
) -> Result<ReloadRow, ScaleError> {
    let effort = if options.small { SMALL } else { FULL };
    let files = ConfigurationSeries::new(value, form.last_class());
    let counted = reloads(manager)?;
    manager.reset_peak()?;
    let before = manager.memory()?;
    let mut blocks = Vec::new();
    for _ in 0..effort.blocks {
        blocks.push(ReloadBlock::play(manager, &files, &effort)?);
    }
    let after = manager.memory()?;
    let mut in_force: Vec<Duration> = blocks
        .iter()
        .flat_map(|block| block.in_force.clone())
        .collect();
    check_in_force(manager, &files, form, (counted, in_force.len()))?;

    let each: Vec<f64> = blocks.iter().map(ReloadBlock::seconds_each).collect();
    let (seconds_each, error) = mean(&each);
    let (rest, _) = mean(&blocks.iter().map(|block| block.rest).collect::<Vec<_>>());
    let bytes = files.nth(0).len();
    let by_core = 60.0 * BUDGET_CORE / seconds_each;
    let by_bytes = 60.0 * BUDGET_BYTES_PER_SECOND / bytes as f64;
    in_force.sort_unstable();
    let counters = manager.counters()?;
    Ok(ReloadRow {
        size: Size::measured(TEST, form.part(), listed, options.managers as usize),
        form,
        memory_mb: options.memory_mb,
        known: counters.get("engines").copied().unwrap_or_default(),
        waiting: counters.get("engines_waiting").copied().unwrap_or_default(),
        reloads: in_force.len(),
        bytes,
        ms_reload: rounded(seconds_each * 1000.0),
        ms_reload_error: rounded(error * 1000.0),
        ms_in_force: milliseconds(in_force.get(in_force.len() / 2)),
        ms_in_force_most: milliseconds(in_force.last()),
        mb_before: rounded(before.resident as f64 / MEGABYTE),
        mb_after: rounded(after.resident as f64 / MEGABYTE),
        mb_peak_above: rounded(after.peak.saturating_sub(before.resident) as f64 / MEGABYTE),
        percent_core_at_rest: rounded(rest * 100.0),
        per_minute_by_core: rounded(by_core),
        per_minute_by_bytes: rounded(by_bytes),
        per_minute: rounded(by_core.min(by_bytes)),
        needed_per_minute: rounded(NEEDED_PER_MINUTE),
    })
}

/// A stretch at rest, and the reloads after it.
struct ReloadBlock {
    /// The share of a core that the process takes by itself.
    rest: f64,
    lasted: Duration,
    processor: Duration,
    /// From each signal to the settings in force.
    in_force: Vec<Duration>,
}

impl ReloadBlock {
    fn play(
        manager: &ManagerProcess,
        files: &ConfigurationSeries,
        effort: &Effort,
    ) -> Result<ReloadBlock, ScaleError> {
        let rest = share_at_rest(manager, effort.rest)?;
        let (begun, processor) = (Instant::now(), manager.processor_time()?);
        let mut in_force = Vec::new();
        for n in 0..effort.reloads_in_block {
            manager.configure(files.nth(n))?;
            in_force.push(manager.reload()?);
            thread::sleep(effort.pause);
        }
        let processor = manager.processor_time()? - processor;
        Ok(ReloadBlock {
            rest,
            lasted: begun.elapsed(),
            processor,
            in_force,
        })
    }

    /// Processor time of one reload. While it reloads nothing else runs in the process, so what the process spends at
    /// rest counts for the remaining time alone.
    fn seconds_each(&self) -> f64 {
        let reloading: Duration = self.in_force.iter().sum();
        let at_rest = self.rest * self.lasted.saturating_sub(reloading).as_secs_f64();
        (self.processor.as_secs_f64() - at_rest) / self.in_force.len() as f64
    }
}

/// The mean of some figures, and its standard error.
fn mean(figures: &[f64]) -> (f64, f64) {
    let count = figures.len() as f64;
    let mean = figures.iter().sum::<f64>() / count;
    let squares: f64 = figures.iter().map(|figure| (figure - mean).powi(2)).sum();
    (mean, (squares / (count - 1.0) / count).sqrt())
}

/// Each file of the series was used, and one more that names a further class is in force after it.
fn check_in_force(
    manager: &ManagerProcess,
    files: &ConfigurationSeries,
    form: ConfigurationForm,
    (before, played): (ReloadCounters, usize),
) -> Result<(), ScaleError> {
    let now = reloads(manager)?;
    if now.used != before.used + played as u64 || now.rejected != before.rejected {
        return Err(ScaleError::CheckFailed(format!(
            "{TEST}: {played} reloads took {before:?} to {now:?}"
        )));
    }
    let known_before = manager.has_class_counter(form.last_class())?;
    manager.configure(files.last())?;
    manager.reload()?;
    if known_before || !manager.has_class_counter(form.last_class())? {
        return Err(ScaleError::CheckFailed(format!(
            "{TEST}: the last configuration of {form:?} is not in force"
        )));
    }
    Ok(())
}

/// Configurations that were read anew.
#[derive(Clone, Copy, Debug)]
struct ReloadCounters {
    used: u64,
    rejected: u64,
}

fn reloads(manager: &ManagerProcess) -> Result<ReloadCounters, ScaleError> {
    let counters = manager.counters()?;
    let count = |name| counters.get(name).copied().unwrap_or_default();
    Ok(ReloadCounters {
        used: count("reloads"),
        rejected: count("reloads_rejected"),
    })
}

/// The share of a core that the process takes by itself.
fn share_at_rest(manager: &ManagerProcess, lasts: Duration) -> Result<f64, ScaleError> {
    let (begun, processor) = (Instant::now(), manager.processor_time()?);
    thread::sleep(lasts);
    let used = manager.processor_time()? - processor;
    Ok(used.as_secs_f64() / begun.elapsed().as_secs_f64())
}

fn milliseconds(time: Option<&Duration>) -> f64 {
    rounded(time.map_or(f64::NAN, |time| time.as_secs_f64() * 1000.0))
}
