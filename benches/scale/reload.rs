//! `reload`: cost of a configuration reload in one real workload manager, by the number of listed
//! engines. The file is replaced and SIGHUP is sent, once with the full list in `known` (`whole`)
//! and once without it (`settings_only`).

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
/// Maximum number of open file descriptors of the manager.
const SOCKETS: usize = 1_024;
/// Port of the listed engines. The manager connects to none of them.
const ENGINE_PORT: u16 = 5_050;
const LIST_SIZES: [usize; 5] = [100, 1_000, 4_096, 10_000, 22_000];
const LIST_SIZES_SMALL: [usize; 4] = [10, 20, 40, 80];
/// Cores, and bytes per second, that a manager may spend on control, which is its work without
/// clients.
const CONTROL_BUDGET_CORES: f64 = 0.012;
const CONTROL_BUDGET_BYTES_PER_SECOND: f64 = 8_000.0;
/// Configuration changes per minute: 33,000 a day.
const NEEDED_RELOADS_PER_MINUTE: f64 = 33_000.0 / (24.0 * 60.0);
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// How much is measured at each size. Reloads run in blocks, and the idle process is measured
/// before each block, so that a machine that becomes slower or faster during the run affects both
/// alike.
struct RunPlan {
    blocks: usize,
    reloads_in_block: usize,
    idle_time: Duration,
    /// Pause after a reload, so that the work that it causes afterwards is complete.
    settle_time: Duration,
}

const FULL_RUN: RunPlan = RunPlan {
    blocks: 20,
    reloads_in_block: 10,
    idle_time: Duration::from_secs(1),
    settle_time: Duration::from_millis(20),
};
const SMALL_RUN: RunPlan = RunPlan {
    blocks: 2,
    reloads_in_block: 2,
    idle_time: Duration::from_millis(50),
    settle_time: Duration::from_millis(10),
};

/// The form of the configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConfigurationForm {
    /// The settings, with the full list in `known`.
    Full,
    /// The settings, without an event in `known`.
    SettingsOnly,
}

impl ConfigurationForm {
    /// Name of the test's part in the result rows.
    fn part(self) -> &'static str {
        match self {
            ConfigurationForm::Full => "whole",
            ConfigurationForm::SettingsOnly => "settings_only",
        }
    }

    /// Name of a class that only the last configuration of this form's series contains.
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
    /// Number of engines that the roster has taken up, and of those waiting for a place in it.
    known: u64,
    waiting: u64,
    reloads: usize,
    /// Size of one configuration file, in bytes.
    bytes: usize,
    /// Processor time of one reload in ms, without what the idle process spends: the mean over the
    /// blocks, and its standard error.
    ms_reload: f64,
    ms_reload_error: f64,
    /// Time from SIGHUP until the settings are in force, in ms: median and maximum.
    ms_in_force: f64,
    ms_in_force_most: f64,
    /// Resident memory in MB before and after the series, and the peak above the first value.
    mb_before: f64,
    mb_after: f64,
    mb_peak_above: f64,
    /// Processor time of the idle process, in percent of a core.
    percent_core_at_rest: f64,
    /// Reloads per minute that fit in 1.2% of a core, in 8,000 bytes per second, and in both.
    per_minute_by_core: f64,
    per_minute_by_bytes: f64,
    per_minute: f64,
    needed_per_minute: f64,
}

/// Measures all sizes but the largest, predicts the largest, and measures it.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<(), ScaleError> {
    let sizes = options.list_sizes_or(&LIST_SIZES, &LIST_SIZES_SMALL);
    let Some((largest, smaller)) = sizes.split_last() else {
        return Ok(());
    };
    let mut rows = Vec::new();
    for listed in smaller {
        rows.extend(measure_forms(options, output, *listed)?);
    }
    let predictions = predict(output, &rows, *largest)?;
    let measured = measure_forms(options, output, *largest)?;
    for (form, read_figure, prediction) in &predictions {
        for row in measured.iter().filter(|row| row.form == *form) {
            prediction.write_error(output, read_figure(row))?;
        }
    }
    Ok(())
}

/// Reads a figure from a row.
type FigureReader = fn(&ReloadRow) -> f64;
type FormPrediction = (ConfigurationForm, FigureReader, Prediction);

/// Predicts the fitted figures of each form at this size.
fn predict(
    output: &mut Output,
    rows: &[ReloadRow],
    size: usize,
) -> Result<Vec<FormPrediction>, ScaleError> {
    let figures: [(ConfigurationForm, &'static str, FigureReader); 4] = [
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
    for (form, figure, read_figure) in figures {
        let of_form = rows.iter().filter(|row| row.form == form);
        let points: Vec<Point> = of_form
            .map(|row| (row.size.listed as f64, read_figure(row)))
            .collect();
        let figure = Figure {
            test: TEST,
            figure,
            over: "listed",
        };
        predictions.push((
            form,
            read_figure,
            Prediction::write(output, figure, &points, size as f64)?,
        ));
    }
    Ok(predictions)
}

/// Measures both forms in one process with this many listed engines.
fn measure_forms(
    options: &Options,
    output: &mut Output,
    listed: usize,
) -> Result<Vec<ReloadRow>, ScaleError> {
    let list = configuration::ready_engines(listed, ENGINE_PORT);
    let feed = Feed::start(&configuration::first_event(&list), HEARTBEAT_INTERVAL)?;
    let with_list = Configuration {
        feed: feed.address,
        sockets: SOCKETS,
        memory_mb: options.memory_mb,
        managers: options.managers,
        listed: &list,
    };
    let manager = ManagerProcess::start(TEST, &with_list.to_json().to_string())?;
    let settings_only = Configuration {
        listed: &[],
        ..with_list
    };
    let forms = [
        (ConfigurationForm::SettingsOnly, settings_only.to_json()),
        (ConfigurationForm::Full, with_list.to_json()),
    ];
    let mut rows = Vec::new();
    for (form, value) in forms {
        let row = measure_series(options, &manager, listed, form, &value)?;
        output.row(&row)?;
        rows.push(row);
    }
    Ok(rows)
}

/// The configuration files of a series. Each differs from the one before, and the last one contains
/// an additional class.
struct ConfigurationSeries([String; 3]);

impl ConfigurationSeries {
    fn new(value: &Value, last_class: &str) -> ConfigurationSeries {
        let with_points = |points: u32| {
            let mut value = value.clone();
            value["settings"]["classes"][0]["points"] = points.into();
            value
        };
        let mut last = with_points(1);
        let mut class = last["settings"]["classes"][0].clone();
        class["name"] = last_class.into();
        if let Some(classes) = last["settings"]["classes"].as_array_mut() {
            classes.push(class);
        }
        ConfigurationSeries([
            with_points(2).to_string(),
            with_points(3).to_string(),
            last.to_string(),
        ])
    }

    fn nth(&self, index: usize) -> &str {
        &self.0[index % 2]
    }

    fn last(&self) -> &str {
        &self.0[2]
    }
}

fn measure_series(
    options: &Options,
    manager: &ManagerProcess,
    listed: usize,
    form: ConfigurationForm,
    value: &Value,
) -> Result<ReloadRow, ScaleError> {
    let run_plan = if options.small { SMALL_RUN } else { FULL_RUN };
    let files = ConfigurationSeries::new(value, form.last_class());
    let counters_before = read_reload_counters(manager)?;
    manager.reset_peak()?;
    let memory_before = manager.memory()?;
    let mut blocks = Vec::new();
    for _ in 0..run_plan.blocks {
        blocks.push(ReloadBlock::measure(manager, &files, &run_plan)?);
    }
    let memory_after = manager.memory()?;
    let mut reload_times: Vec<Duration> = blocks
        .iter()
        .flat_map(|block| block.reload_times.clone())
        .collect();
    check_in_force(manager, &files, form, (counters_before, reload_times.len()))?;

    let block_seconds: Vec<f64> = blocks.iter().map(ReloadBlock::seconds_per_reload).collect();
    let (seconds_per_reload, standard_error) = mean_and_error(&block_seconds);
    let (idle_share, _) = mean_and_error(
        &blocks
            .iter()
            .map(|block| block.idle_share)
            .collect::<Vec<_>>(),
    );
    let bytes = files.nth(0).len();
    let by_core = 60.0 * CONTROL_BUDGET_CORES / seconds_per_reload;
    let by_bytes = 60.0 * CONTROL_BUDGET_BYTES_PER_SECOND / bytes as f64;
    reload_times.sort_unstable();
    let counters = manager.counters()?;
    Ok(ReloadRow {
        size: Size::measured(TEST, form.part(), listed, options.managers as usize),
        form,
        memory_mb: options.memory_mb,
        known: counters.get("engines").copied().unwrap_or_default(),
        waiting: counters.get("engines_waiting").copied().unwrap_or_default(),
        reloads: reload_times.len(),
        bytes,
        ms_reload: rounded(seconds_per_reload * 1000.0),
        ms_reload_error: rounded(standard_error * 1000.0),
        ms_in_force: milliseconds(reload_times.get(reload_times.len() / 2)),
        ms_in_force_most: milliseconds(reload_times.last()),
        mb_before: rounded(memory_before.resident as f64 / BYTES_PER_MEGABYTE),
        mb_after: rounded(memory_after.resident as f64 / BYTES_PER_MEGABYTE),
        mb_peak_above: rounded(
            memory_after.peak.saturating_sub(memory_before.resident) as f64 / BYTES_PER_MEGABYTE,
        ),
        percent_core_at_rest: rounded(idle_share * 100.0),
        per_minute_by_core: rounded(by_core),
        per_minute_by_bytes: rounded(by_bytes),
        per_minute: rounded(by_core.min(by_bytes)),
        needed_per_minute: rounded(NEEDED_RELOADS_PER_MINUTE),
    })
}

/// Measurements of a block: the idle process, then the reloads.
struct ReloadBlock {
    /// Share of a core that the process uses while idle.
    idle_share: f64,
    /// Duration of the reloads and of the pauses after them, and the processor time used meanwhile.
    block_duration: Duration,
    processor_time: Duration,
    /// For each reload, the time from the signal until the settings are in force.
    reload_times: Vec<Duration>,
}

impl ReloadBlock {
    fn measure(
        manager: &ManagerProcess,
        files: &ConfigurationSeries,
        run_plan: &RunPlan,
    ) -> Result<ReloadBlock, ScaleError> {
        let idle_share = idle_core_share(manager, run_plan.idle_time)?;
        let (started, processor_time) = (Instant::now(), manager.processor_time()?);
        let mut reload_times = Vec::new();
        for n in 0..run_plan.reloads_in_block {
            manager.configure(files.nth(n))?;
            reload_times.push(manager.reload()?);
            thread::sleep(run_plan.settle_time);
        }
        let processor_time = manager.processor_time()? - processor_time;
        Ok(ReloadBlock {
            idle_share,
            block_duration: started.elapsed(),
            processor_time,
            reload_times,
        })
    }

    /// Processor time of one reload, in seconds. Nothing else runs in the process during a reload,
    /// so the idle share is subtracted only for the rest of the block.
    fn seconds_per_reload(&self) -> f64 {
        let reloading: Duration = self.reload_times.iter().sum();
        let idle_seconds =
            self.idle_share * self.block_duration.saturating_sub(reloading).as_secs_f64();
        (self.processor_time.as_secs_f64() - idle_seconds) / self.reload_times.len() as f64
    }
}

/// The mean of the figures, and its standard error.
fn mean_and_error(figures: &[f64]) -> (f64, f64) {
    let count = figures.len() as f64;
    let mean = figures.iter().sum::<f64>() / count;
    let squares: f64 = figures.iter().map(|figure| (figure - mean).powi(2)).sum();
    (mean, (squares / (count - 1.0) / count).sqrt())
}

/// Checks that each file of the series was applied, and that the last file, which contains an
/// additional class, is in force once it is loaded.
fn check_in_force(
    manager: &ManagerProcess,
    files: &ConfigurationSeries,
    form: ConfigurationForm,
    (before, reloads): (ReloadCounters, usize),
) -> Result<(), ScaleError> {
    let now = read_reload_counters(manager)?;
    if now.applied != before.applied + reloads as u64 || now.rejected != before.rejected {
        return Err(ScaleError::CheckFailed(format!(
            "{TEST}: {reloads} reloads changed the counters from {before:?} to {now:?}"
        )));
    }
    let had_class_counter = manager.has_class_counter(form.last_class())?;
    manager.configure(files.last())?;
    manager.reload()?;
    if had_class_counter || !manager.has_class_counter(form.last_class())? {
        return Err(ScaleError::CheckFailed(format!(
            "{TEST}: the last configuration of {form:?} is not in force"
        )));
    }
    Ok(())
}

/// Counters of the process: configurations applied and rejected.
#[derive(Clone, Copy, Debug)]
struct ReloadCounters {
    applied: u64,
    rejected: u64,
}

fn read_reload_counters(manager: &ManagerProcess) -> Result<ReloadCounters, ScaleError> {
    let counters = manager.counters()?;
    let count = |name| counters.get(name).copied().unwrap_or_default();
    Ok(ReloadCounters {
        applied: count("reloads"),
        rejected: count("reloads_rejected"),
    })
}

/// Share of a core that the process uses while idle.
fn idle_core_share(manager: &ManagerProcess, idle_time: Duration) -> Result<f64, ScaleError> {
    let (started, processor_time) = (Instant::now(), manager.processor_time()?);
    thread::sleep(idle_time);
    let used = manager.processor_time()? - processor_time;
    Ok(used.as_secs_f64() / started.elapsed().as_secs_f64())
}

fn milliseconds(time: Option<&Duration>) -> f64 {
    rounded(time.map_or(f64::NAN, |time| time.as_secs_f64() * 1000.0))
}
