//! Processes that get a small share of a processor.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::time::{ClockId, clock_gettime};
use nix::unistd::Pid;

/// The period in which a process may use its processor time.
const PERIOD: Duration = Duration::from_millis(50);

/// The pause between looks at the time that the processes have used.
const CHECK_INTERVAL: Duration = Duration::from_micros(500);

/// Holds processes to a share of a processor until it is dropped: one that has used its processor
/// time stands still until the next period, as on a host that limits it.
///
/// Only used time counts, so that other load on this machine does not make the share smaller.
pub struct SlowProcesses {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl SlowProcesses {
    /// Holds these processes to a share of a processor each.
    pub fn start(ids: impl IntoIterator<Item = u32>, share: f64) -> Self {
        let quota = PERIOD.mul_f64(share);
        let processes: Vec<Held> = ids.into_iter().map(Held::new).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = spawn(move || hold(processes, quota, &stopped));
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for SlowProcesses {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A process that is held to a share.
struct Held {
    id: Pid,
    /// The processor time up to which it may run in this period.
    limit: Duration,
    is_still: bool,
}

impl Held {
    fn new(id: u32) -> Self {
        Self {
            id: Pid::from_raw(i32::try_from(id).expect("a process id")),
            limit: Duration::ZERO,
            is_still: false,
        }
    }

    /// Returns the processor time that the process has used; `None` once it has ended.
    fn used(&self) -> Option<Duration> {
        let clock = ClockId::pid_cpu_clock_id(self.id).ok()?;
        clock_gettime(clock).ok().map(Duration::from)
    }

    /// Begins a period. Time that was not used does not add up; time used beyond the limit counts.
    fn begin_period(&mut self, quota: Duration) {
        let Some(used) = self.used() else { return };
        // The first period begins with the time that the process has used before.
        let last = if self.limit.is_zero() {
            used
        } else {
            self.limit
        };
        self.limit = (last + quota).min(used + quota);
    }

    /// Lets the process run or stand still, by the time that it has used.
    fn check(&mut self) {
        let Some(used) = self.used() else { return };
        let is_still = used >= self.limit;
        if is_still != self.is_still {
            self.is_still = is_still;
            self.signal(if is_still {
                Signal::SIGSTOP
            } else {
                Signal::SIGCONT
            });
        }
    }

    fn signal(&self, signal: Signal) {
        // Fails only once the process has ended.
        let _ = kill(self.id, signal);
    }
}

fn hold(mut processes: Vec<Held>, quota: Duration, stop: &AtomicBool) {
    let mut period_end = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        if Instant::now() >= period_end {
            period_end = Instant::now() + PERIOD;
            for process in &mut processes {
                process.begin_period(quota);
            }
        }
        for process in &mut processes {
            process.check();
        }
        sleep(CHECK_INTERVAL);
    }
    for process in processes {
        process.signal(Signal::SIGCONT);
    }
}
