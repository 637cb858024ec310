//! What is known of a host that runs tasks.

use super::spec::{StepId, TaskName};
use crate::collections::HashMap;
use crate::ids::{HostId, ZoneId};
use crate::resources::Resources;
use crate::time::Millis;

/// Failed runs of different jobs in a row after which a host gets no more work for a while.
const FAILURE_LIMIT: u32 = 3;

/// How much of its task lease a host needs to get more work, in milliseconds: its tasks would end
/// before the next call.
const MIN_LEASE_MS: u64 = 500;

/// The first time without work after too many failures, in milliseconds; it doubles up to
/// [`REST_MOST_MS`].
const FIRST_PAUSE_MS: u64 = 1_000;

/// The longest time without work, in milliseconds: a host that is sound again is found by then.
const MAX_PAUSE_MS: u64 = 4_000;

/// A host as the registry lists it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostEntry {
    /// Its identifier.
    pub id: HostId,
    /// The service that its tasks belong to.
    pub service: String,
    /// The availability zone.
    pub zone: ZoneId,
    /// Whether it is leaving.
    pub draining: bool,
    /// What it has room for.
    pub capacity: Resources,
    /// Its kind and rack.
    pub labels: Vec<String>,
    /// When it started, in milliseconds since 1970; it tells its boots apart.
    pub boot_ms: u64,
}

impl HostEntry {
    /// Returns whether the host has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }
}

/// Where an ordered run stands on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The start is ordered once its record is written.
    Planned,
    /// The start was ordered and is not answered.
    Ordered,
    /// The start was answered, or the host lists the run.
    Running,
    /// The order's outcome is not known; a stop was ordered at the time given.
    Uncertain,
    /// A stop was ordered.
    Stopping,
}

/// Room on a host that one run takes.
#[derive(Debug, Clone)]
pub struct Claim {
    /// What the run takes.
    pub size: Resources,
    /// Where it stands.
    pub stage: Stage,
    /// When the newest order of this run was sent.
    pub ordered: Millis,
    /// When the newest stop was answered.
    pub stop_answered: Option<Millis>,
    /// When the run was ordered or first seen.
    pub since: Millis,
}

/// Room that is kept for a step; more urgent work may take it.
#[derive(Debug, Clone, Copy)]
pub struct HostReservation {
    /// The step.
    pub step: StepId,
    /// How urgent it is; zero goes first.
    pub priority: u32,
    /// How much is kept.
    pub size: Resources,
    /// Until when.
    pub until: Millis,
}

/// A run on a host.
pub type RunKey = (TaskName, u32);

/// A host.
#[derive(Debug)]
pub struct Host {
    /// What the registry says.
    pub entry: HostEntry,
    /// Whether the registry lists it.
    pub listed: bool,
    /// Whether it has answered under this owner's epoch, so that its runs are known.
    pub answered: bool,
    /// The boot that answered last.
    pub boot_ms: u64,
    /// Runs that take room.
    pub claims: HashMap<RunKey, Claim>,
    /// The sum of the claims.
    pub used: Resources,
    /// Until when its tasks may run without another call.
    pub lease: Millis,
    /// When an extra look was asked for.
    pub polled: Millis,
    /// Room that is kept for a step.
    pub reservation: Option<HostReservation>,
    /// Until when it gets no work.
    pub paused_until: Millis,
    failures: u32,
    pause_ms: u64,
    last_failed: Option<TaskName>,
    /// The highest number of an end that was taken in.
    pub last_end: u64,
}

impl Host {
    /// Makes a host that has not answered yet.
    pub fn new(entry: HostEntry, now: Millis) -> Self {
        Self {
            entry,
            listed: true,
            answered: false,
            boot_ms: 0,
            claims: HashMap::default(),
            used: Resources::ZERO,
            lease: Millis::ZERO,
            polled: now,
            reservation: None,
            paused_until: Millis::ZERO,
            failures: 0,
            pause_ms: FIRST_PAUSE_MS,
            last_failed: None,
            last_end: 0,
        }
    }

    /// Returns the room that is kept from a step of a priority, for another.
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

    /// Returns the room that is left for a step of a priority.
    pub fn free(&self, step: StepId, priority: u32, now: Millis) -> Resources {
        let kept = self.blocking_reservation(step, priority, now);
        let kept = kept.map_or(Resources::ZERO, |reservation| reservation.size);
        self.entry.capacity.saturating_sub(&(self.used + kept))
    }

    /// Returns whether the host may get new work.
    pub fn accepts_work(&self, now: Millis) -> bool {
        let held = self.lease > now + Millis(MIN_LEASE_MS);
        self.listed && self.answered && held && !self.entry.draining && self.paused_until <= now
    }

    /// Takes room for a run.
    pub fn claim(&mut self, run: RunKey, claim: Claim) {
        self.used += claim.size;
        if let Some(old) = self.claims.insert(run, claim) {
            self.used = self.used.saturating_sub(&old.size);
        }
    }

    /// Gives the room of a run back.
    pub fn release(&mut self, run: RunKey) -> Option<Claim> {
        let claim = self.claims.remove(&run)?;
        self.used = self.used.saturating_sub(&claim.size);
        Some(claim)
    }

    /// Returns how many runs of a step are on this host.
    pub fn count(&self, step: StepId) -> u32 {
        let runs = self.claims.keys().filter(|(task, _)| task.step == step);
        u32::try_from(runs.count()).unwrap_or(u32::MAX)
    }

    /// Notes a run that did its work.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.pause_ms = FIRST_PAUSE_MS;
        self.last_failed = None;
    }

    /// Notes a failure of a run; a job that always fails counts once.
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
            // One more failure after the rest sends it back to rest.
            self.failures = FAILURE_LIMIT - 1;
        }
    }
}
