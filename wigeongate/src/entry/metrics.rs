//! Counters, durations and errors of one gate, as text for the metrics endpoint.

use std::fmt::Write;
use std::sync::Mutex;

use hdrhistogram::Histogram;
use wigeongate_core::collections::HashMap;
use wigeongate_core::time::Millis;

/// The largest value of a histogram, in milliseconds or percent; larger ones are recorded as this.
const MAX_VALUE: u64 = 600_000;

/// The number of significant digits that a histogram keeps of a value.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The number of series of each kind from which on events with a new label get the label `other`.
const MAX_SERIES: usize = 500;

type Histograms = HashMap<(&'static str, String), Histogram<u64>>;

#[derive(Debug, Default)]
struct Series {
    counts: HashMap<(&'static str, String), u64>,
    durations: Histograms,
    percents: Histograms,
    gauges: HashMap<&'static str, u64>,
    labelled_gauges: HashMap<&'static str, Vec<(String, u64)>>,
}

/// The gauges, counters and histograms of one gate; the latter two by name and label.
#[derive(Debug, Default)]
pub struct EntryMetrics(Mutex<Series>);

impl EntryMetrics {
    fn series(&self) -> std::sync::MutexGuard<'_, Series> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Increments the counter of a name and a label.
    pub fn count(&self, name: &'static str, label: &str) {
        let mut series = self.series();
        let key = series_key(&series.counts, name, label);
        *series.counts.entry(key).or_default() += 1;
    }

    /// Sets a gauge.
    pub fn set_gauge(&self, name: &'static str, value: u64) {
        self.series().gauges.insert(name, value);
    }

    /// Replaces all gauges of a name by these labels and values, of which those over the bound on
    /// series are dropped.
    pub fn replace_gauges(&self, name: &'static str, mut values: Vec<(String, u64)>) {
        values.truncate(MAX_SERIES);
        self.series().labelled_gauges.insert(name, values);
    }

    /// Records a duration, kept in milliseconds, for a name and a label.
    pub fn record_duration(&self, name: &'static str, label: &str, duration: Millis) {
        record(&mut self.series().durations, name, label, duration.0);
    }

    /// Records a value in percent for a name and a label.
    pub fn record_percent(&self, name: &'static str, label: &str, percent: u64) {
        record(&mut self.series().percents, name, label, percent);
    }

    /// Renders all gauges, counters and quantiles, one per line.
    pub fn render(&self) -> String {
        let series = self.series();
        let mut output = String::new();
        for (name, value) in &series.gauges {
            let _ = writeln!(output, "wigeongate_{name} {value}");
        }
        for (name, values) in &series.labelled_gauges {
            for (label, value) in values {
                let _ = writeln!(output, "wigeongate_{name}{{of=\"{label}\"}} {value}");
            }
        }
        for ((name, label), count) in &series.counts {
            let _ = writeln!(output, "wigeongate_{name}{{of=\"{label}\"}} {count}");
        }
        for (unit, histograms) in [("ms", &series.durations), ("percent", &series.percents)] {
            for ((name, label), values) in histograms {
                render_quantiles(&mut output, &format!("{name}_{unit}"), label, values);
            }
        }
        output
    }
}

/// Returns the key of a series; a new one beyond the bound is that of the label `other`.
fn series_key<T>(
    series: &HashMap<(&'static str, String), T>,
    name: &'static str,
    label: &str,
) -> (&'static str, String) {
    let key = (name, label.to_owned());
    if series.len() < MAX_SERIES || series.contains_key(&key) {
        key
    } else {
        (name, "other".to_owned())
    }
}

fn record(histograms: &mut Histograms, name: &'static str, label: &str, value: u64) {
    let key = series_key(histograms, name, label);
    let histogram = histograms.entry(key).or_insert_with(|| {
        Histogram::new_with_max(MAX_VALUE, SIGNIFICANT_DIGITS).unwrap_or_else(|_| {
            Histogram::new(SIGNIFICANT_DIGITS).expect("two digits are supported")
        })
    });
    histogram.saturating_record(value);
}

fn render_quantiles(output: &mut String, name: &str, label: &str, values: &Histogram<u64>) {
    for (quantile, fraction) in [("0.5", 0.5), ("0.9", 0.9), ("0.99", 0.99), ("1", 1.0)] {
        let value = values.value_at_quantile(fraction);
        let _ = writeln!(
            output,
            "wigeongate_{name}{{of=\"{label}\",quantile=\"{quantile}\"}} {value}"
        );
    }
    let count = values.len();
    let _ = writeln!(output, "wigeongate_{name}_count{{of=\"{label}\"}} {count}");
}
