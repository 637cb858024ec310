//! Counters and times of one gate, as text.

use std::fmt::Write;
use std::sync::Mutex;

use hdrhistogram::Histogram;
use wigeongate_core::collections::HashMap;
use wigeongate_core::time::Millis;

/// The longest time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 600_000;

/// Significant digits of a time.
const DIGITS: u8 = 2;

/// The most series of each kind; more are counted under `other`.
const MOST_SERIES: usize = 500;

#[derive(Debug, Default)]
struct Series {
    counts: HashMap<(&'static str, String), u64>,
    times: HashMap<(&'static str, String), Histogram<u64>>,
}

/// Counters and times of one gate.
#[derive(Debug, Default)]
pub struct Meters(Mutex<Series>);

impl Meters {
    fn series(&self) -> std::sync::MutexGuard<'_, Series> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Counts one event of a name and a label.
    pub fn count(&self, name: &'static str, label: &str) {
        let mut series = self.series();
        let full = series.counts.len() >= MOST_SERIES;
        let label = if full { "other" } else { label };
        *series.counts.entry((name, label.to_owned())).or_default() += 1;
    }

    /// Notes a time of a name and a label.
    pub fn time(&self, name: &'static str, label: &str, time: Millis) {
        let mut series = self.series();
        let full = series.times.len() >= MOST_SERIES;
        let label = if full { "other" } else { label };
        let histogram = series
            .times
            .entry((name, label.to_owned()))
            .or_insert_with(|| {
                Histogram::new_with_max(LONGEST_MS, DIGITS)
                    .unwrap_or_else(|_| Histogram::new(DIGITS).expect("two digits are supported"))
            });
        histogram.saturating_record(time.0);
    }

    /// Writes everything, a line each.
    pub fn text(&self) -> String {
        let series = self.series();
        let mut text = String::new();
        for ((name, label), count) in &series.counts {
            let _ = writeln!(text, "wigeongate_{name}{{of=\"{label}\"}} {count}");
        }
        for ((name, label), times) in &series.times {
            for (quantile, part) in [("0.5", 0.5), ("0.9", 0.9), ("0.99", 0.99), ("1", 1.0)] {
                let value = times.value_at_quantile(part);
                let _ = writeln!(
                    text,
                    "wigeongate_{name}_ms{{of=\"{label}\",quantile=\"{quantile}\"}} {value}"
                );
            }
            let _ = writeln!(
                text,
                "wigeongate_{name}_ms_count{{of=\"{label}\"}} {}",
                times.len()
            );
        }
        text
    }
}
