//! The state of a host that runs tasks.

use super::crash::Blame;
use super::crash_proofs::HostBoot;
use super::host_loss::Failing;
use super::spec::{RunKey, StepId, StepSpec, TaskName, WorkflowId};
use crate::collections::HashMap;
use crate::host_speeds::Speed;
use crate::ids::{HostId, ZoneId};
use crate::resources::Resources;
use crate::run_times::Forecast;
use crate::time::Millis;

/// Consecutive failures of runs of different jobs after which a host gets no work for a while.
const FAILURE_LIMIT: u32 = 3;

/// The least remaining task lease with which a host gets work, in milliseconds: with less, its
/// tasks would end before the next call.
const MIN_LEASE_MS: u64 = 500;

/// The first pause after too many failures, in milliseconds; it doubles up to [`MAX_PAUSE_MS`].
const FIRST_PAUSE_MS: u64 = 1_000;

/// The longest pause, in milliseconds; it bounds how long a recovered host gets no work.
const MAX_PAUSE_MS: u64 = 4_000;

/// A host as listed in the registry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostEntry {
    /// Identifier of the host.
    pub id: HostId,
    /// The address of its executor, `IP:PORT`; identifies the machine across restarts.
    pub address: String,
    /// The service whose tasks it runs.
    pub service: String,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether the host is draining and gets no more work.
    pub draining: bool,
    /// Capacity for tasks.
    pub capacity: Resources,
    /// Labels such as its kind and its rack.
    pub labels: Vec<String>,
    /// When the executor started, in milliseconds since 1970; identifies the boot.
    pub boot_ms: u64,
}

impl HostEntry {
    /// Returns whether the host has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }
}

/// State of a run on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The start will be ordered once its record is written.
    Planned,
    /// The start was ordered and has no answer yet.
    Ordered,
    /// The start was confirmed, or a report lists the run.
    Running,
    /// The result of the start order is unknown, and a stop was ordered.
    Uncertain,
    /// A stop was ordered.
    Stopping,
}

/// Capacity that one run uses on a host.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent fact of the run"
)]
#[derive(Debug, Clone)]
pub struct Claim {
    /// The amount.
    pub size: Resources,
    /// State of the run.
    pub stage: Stage,
    /// When the newest order for this run was sent.
    pub ordered: Millis,
    /// When the newest stop was answered.
    pub stop_answered: Option<Millis>,
    /// When the start was ordered or the run was first reported.
    pub since: Millis,
    /// Whether an answer or a report has confirmed the start.
    pub confirmed: bool,
    /// When the answer to the start or the first report of the run arrived; zero for runs of earlier
    /// owners, whose orders a host refuses once it has reported.
    pub answered: Option<Millis>,
    /// Whether the run lasts until its job is cancelled.
    pub lasting: bool,
    /// The boot of the executor that was ordered to start it, in milliseconds since 1970; zero if
    /// that is not known.
    pub boot_ms: u64,
    /// Number of the log batch in which an earlier owner recorded the start; zero for own starts.
    pub batch: u32,
    /// The run time that was predicted at the start; zero for runs of earlier owners.
    pub forecast: Forecast,
    /// Whether the run resumed from a checkpoint.
    pub resumed: bool,
    /// Whether it has been reported as a straggler.
    pub straggles: bool,
}

/// A host that waits to see whether the tasks of a suspected job crash it.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    /// The job; no other gets the host meanwhile.
    pub job: WorkflowId,
    /// When the tasks have passed if the host still runs.
    pub until: Millis,
}

/// A step for which a host was put into isolation.
#[derive(Debug, Clone, Copy)]
pub struct Draft {
    /// The step.
    pub step: StepId,
    /// Until when no other step may end the isolation while this one waits.
    pub until: Millis,
}

/// Capacity that is reserved for a step; a more urgent step may still use it.
#[derive(Debug, Clone, Copy)]
pub struct HostReservation {
    /// The step.
    pub step: StepId,
    /// Its priority; zero is the most urgent.
    pub priority: u32,
    /// The reserved amount.
    pub size: Resources,
    /// When the reservation expires.
    pub until: Millis,
    /// When the amount is expected to be free; zero if forecasts are not in use.
    pub ready: Millis,
}

/// When a host was last heard of, on the owner's clock, and until when its runs may go on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HostContact {
    /// When the poll of the newest report was sent; zero before the first report.
    pub reported: Millis,
    /// When the first poll since then failed.
    pub failed: Option<Millis>,
    /// When its address first refused a connection or answered for another executor since then.
    pub refused: Option<Millis>,
    /// When it was seen that the registry no longer lists the host.
    pub unlisted: Option<Millis>,
    /// The end of the leases that a poll has confirmed.
    pub confirmed: Millis,
    /// The end of the leases if every poll has taken effect; never before `confirmed`.
    pub runs_until: Millis,
}

/// A host, its runs and its health.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent fact of the host"
)]
#[derive(Debug)]
pub struct Host {
    /// The entry in the registry.
    pub entry: HostEntry,
    /// Whether the registry lists it.
    pub listed: bool,
    /// When it was seen that the registry no longer lists it; valid unless `listed`.
    pub unlisted: Millis,
    /// Whether it has reported in this owner's epoch, so that its running tasks are known.
    pub answered: bool,
    /// Whether a report since then listed all ends, so that the runs of earlier owners are settled.
    pub settled: bool,
    /// The boot of the last report, in milliseconds since 1970.
    pub boot_ms: u64,
    /// The boot of the last report that listed all ends, in milliseconds since 1970. The runs of the
    /// boots before are lost.
    pub settled_boot: u64,
    /// When the first report of this boot arrived; zero if no restart is known.
    pub restarted: Millis,
    /// Claims of the runs on this host.
    pub claims: HashMap<RunKey, Claim>,
    /// Sum of the claims; changes only together with `claims`.
    pub used: Resources,
    /// The time until which a poll has confirmed that its tasks may run.
    pub lease: Millis,
    /// The time until which its tasks may run if every poll sent so far has taken effect; never
    /// before `lease`.
    pub runs_until: Millis,
    /// When the poll of the newest applied report was sent.
    pub reported: Millis,
    /// Whether polls had failed before the newest report, so that the ends it lists may be old.
    pub was_silent: bool,
    /// What the polls since the last report found; `None` while they are answered.
    pub failing: Option<Failing>,
    /// The runs that may have ended the host's process, once that is judged.
    pub blame: Option<Blame>,
    /// The suspected job that was started last, until its tasks have passed.
    pub trial: Option<Trial>,
    /// Number of the log batch in which an earlier owner recorded its last start on the host.
    pub newest_batch: u32,
    /// Until when the host is reserved for suspected jobs.
    pub isolated: Millis,
    /// The step for which it was reserved last.
    pub drafted: Option<Draft>,
    /// When an extra poll was last requested.
    pub polled: Millis,
    /// Its speed when all hosts were judged last.
    pub speed: Speed,
    /// Capacity that is reserved for a step.
    pub reservation: Option<HostReservation>,
    /// When the host may get work again after failures.
    pub paused_until: Millis,
    failures: u32,
    pause_ms: u64,
    last_failed: Option<TaskName>,
    /// The highest number of an end that has been processed.
    pub last_end: u64,
}

impl Host {
    /// Creates a host that has not reported yet.
    pub fn new(entry: HostEntry, now: Millis) -> Self {
        Self {
            entry,
            listed: true,
            unlisted: Millis::ZERO,
            answered: false,
            settled: false,
            boot_ms: 0,
            settled_boot: 0,
            restarted: Millis::ZERO,
            claims: HashMap::default(),
            used: Resources::ZERO,
            lease: Millis::ZERO,
            runs_until: Millis::ZERO,
            reported: Millis::ZERO,
            was_silent: false,
            failing: None,
            blame: None,
            trial: None,
            newest_batch: 0,
            isolated: Millis::ZERO,
            drafted: None,
            polled: now,
            speed: Speed::Usual,
            reservation: None,
            paused_until: Millis::ZERO,
            failures: 0,
            pause_ms: FIRST_PAUSE_MS,
            last_failed: None,
            last_end: 0,
        }
    }

    /// Returns the reservation of another step that a step of this priority has to respect.
    pub fn blocking_reservation(
        &self,
        step: StepId,
        priority: u32,
        now: Millis,
    ) -> Option<&HostReservation> {
        self.reservation.as_ref().filter(|reservation| {
            reservation.step != step && reservation.priority <= priority && reservation.until > now
        })
    }

    /// Returns the capacity that is free for a step of this priority.
    pub fn free(&self, step: StepId, priority: u32, now: Millis) -> Resources {
        let reserved = self.blocking_reservation(step, priority, now);
        let reserved = reserved.map_or(Resources::ZERO, |reservation| reservation.size);
        self.entry.capacity.saturating_sub(&(self.used + reserved))
    }

    /// Returns whether the host may get new work.
    pub fn accepts_work(&self, now: Millis) -> bool {
        let held = self.lease > now + Millis(MIN_LEASE_MS);
        let sound = self.failing.is_none() && self.paused_until <= now;
        self.listed && self.answered && held && sound && self.is_described() && !self.entry.draining
    }

    /// Returns whether the entry in the registry is of the boot that answers: another boot may have
    /// another capacity and other labels. Either may not name its boot.
    fn is_described(&self) -> bool {
        let (listed, answering) = (self.entry.boot_ms, self.boot_ms);
        listed == 0 || answering == 0 || listed == answering
    }

    /// Returns when the host was last heard of.
    pub fn contact(&self) -> HostContact {
        HostContact {
            reported: self.reported,
            failed: self.failing.map(|failing| failing.since),
            refused: self.failing.and_then(|failing| failing.ended),
            unlisted: (!self.listed).then_some(self.unlisted),
            confirmed: self.lease,
            runs_until: self.runs_until,
        }
    }

    /// Returns the process that is lost with the host.
    pub fn lost_boot(&self) -> HostBoot {
        // Of a host that has not reported to this owner, only the log names the boot. The runs of a
        // boot before may not be settled yet.
        let boots = || self.claims.values().map(|claim| claim.boot_ms);
        let earlier = boots().filter(|boot_ms| *boot_ms != 0).min();
        let is_current = self.boot_ms != 0 && boots().any(|boot_ms| boot_ms == self.boot_ms);
        HostBoot {
            host: self.entry.id.clone(),
            boot_ms: earlier.filter(|_| !is_current).unwrap_or(self.boot_ms),
        }
    }

    /// Handles that the host has to report anew before it gets work.
    pub const fn forget_report(&mut self) {
        self.answered = false;
        self.settled = false;
    }

    /// Returns whether the host has ever reported to this owner.
    pub fn has_reported(&self) -> bool {
        self.reported > Millis::ZERO
    }

    /// Returns whether nothing but lasting runs would be lost beside the tasks of a job.
    pub fn is_vacant_for(&self, job: WorkflowId) -> bool {
        let is_harmless =
            |((task, _), claim): (&RunKey, &Claim)| task.step.job == job || claim.lasting;
        self.claims.iter().all(is_harmless)
    }

    /// Returns whether nothing but lasting runs would be lost with the host.
    pub fn is_vacant(&self) -> bool {
        self.claims.values().all(|claim| claim.lasting)
    }

    /// Returns the capacity that lasting runs leave.
    pub fn spare(&self) -> Resources {
        let lasting = self.claims.values().filter(|claim| claim.lasting);
        let used: Resources = lasting.map(|claim| claim.size).sum();
        self.entry.capacity.saturating_sub(&used)
    }

    /// Returns how many runs would be lost with the host: those that end by themselves, and those
    /// that last, which lose less.
    pub fn at_risk(&self) -> (usize, usize) {
        let lasting = self.claims.values().filter(|claim| claim.lasting).count();
        (self.claims.len() - lasting, lasting)
    }

    /// Returns whether a run that holds a claim still has room. The host may have shrunk under all
    /// of its runs since the claim was made.
    pub fn has_room_for(&self, run: RunKey) -> bool {
        let excess = self.used.saturating_sub(&self.entry.capacity);
        let claim = self.claims.get(&run);
        claim.is_some_and(|claim| claim.size.min(&excess).is_zero())
    }

    /// Adds the claim of a run.
    pub fn claim(&mut self, run: RunKey, claim: Claim) {
        self.used += claim.size;
        if let Some(old) = self.claims.insert(run, claim) {
            self.used = self.used.saturating_sub(&old.size);
        }
    }

    /// Sets the size of a run's claim and whether the run lasts, once its step is known.
    pub fn describe_claim(&mut self, run: RunKey, step: &StepSpec) {
        if let Some(mut claim) = self.release(run) {
            claim.size = step.demand();
            claim.lasting = step.long_running;
            self.claim(run, claim);
        }
    }

    /// Removes and returns the claim of a run.
    pub fn release(&mut self, run: RunKey) -> Option<Claim> {
        let claim = self.claims.remove(&run)?;
        self.used = self.used.saturating_sub(&claim.size);
        Some(claim)
    }

    /// Returns the number of runs of a step on this host.
    pub fn count(&self, step: StepId) -> u32 {
        let runs = self.claims.keys().filter(|(task, _)| task.step == step);
        u32::try_from(runs.count()).unwrap_or(u32::MAX)
    }

    /// Records a run that succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.pause_ms = FIRST_PAUSE_MS;
        self.last_failed = None;
    }

    /// Records a failure and pauses the host after too many; repeated failures of the same job
    /// count once, so that a job that always fails does not pause its hosts.
    pub fn record_failure(&mut self, task: Option<TaskName>, now: Millis) {
        if let Some(task) = task {
            let same = self
                .last_failed
                .is_some_and(|last| last.step.job == task.step.job);
            if same {
                return;
            }
            self.last_failed = Some(task);
        }
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            self.paused_until = now + Millis(self.pause_ms);
            self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
            // After the pause, a single failure pauses the host again.
            self.failures = FAILURE_LIMIT - 1;
        }
    }
}
