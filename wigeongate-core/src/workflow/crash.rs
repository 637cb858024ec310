//! Attributes the crash of a host to the runs on it.
//!
//! Load pattern: a task that crashes every executor that starts it, beside ten or twenty innocent
//! runs that are lost with each host. A count of crashes alone would condemn these as well. Such a
//! crash follows its start within moments, so the runs that had just started are suspected before
//! those that had been running for a while; a suspect is then tried apart from other suspects, and
//! only a crash with it as the only suspect settles the matter.

use serde::{Deserialize, Serialize};

use super::crash_proofs::{CrashProof, HostBoot};
use super::evidence::Evidence;
use super::spec::{RunKey, TaskName, WorkflowId};
use crate::time::Millis;

/// The age below which a run is suspected first, in milliseconds.
pub const YOUNG_MS: u64 = 500;

/// The age from which a run is not suspected at all, in milliseconds.
pub const OLD_MS: u64 = 5_000;

/// The number of crashes under a task after which it is given up if the last one leaves no other
/// suspect.
const CONVICTION_CRASHES: usize = 2;

/// The number of crashes from which a task is given up although other runs were suspected as well.
const MAX_CRASHES: usize = 4;

/// A crash of a host under a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the run.
    pub run: u32,
    /// Whether only runs of this job were suspected.
    pub sole: bool,
    /// Whether the run had just started.
    pub young: bool,
    /// What proves that the host's process has ended; stored as a record of its own.
    #[serde(skip)]
    pub proof: CrashProof,
}

/// A run that was lost with its host.
#[derive(Debug, Clone, Copy)]
pub struct LostRun {
    /// The task and the number of the run.
    pub key: RunKey,
    /// How long it had been running.
    pub age: Millis,
    /// The number of earlier crashes under its task.
    pub crashes: usize,
}

/// Where and when a host seems to have crashed.
#[derive(Debug, Clone)]
pub struct Scene {
    /// The process that was lost.
    pub boot: HostBoot,
    /// Address of the host, `IP:PORT`.
    pub machine: String,
    /// When the process was lost.
    pub lost: Millis,
}

/// A crash whose suspects had just started, and the other recent runs on the host. These are to be
/// suspected once every job that was accused has been cleared.
#[derive(Debug)]
pub struct Accusation {
    /// The crash.
    pub scene: Scene,
    /// The jobs of the suspects that are not cleared.
    pub accused: Vec<WorkflowId>,
    /// The tasks of the other runs that were not old, and what the crash proves against each.
    pub others: Vec<(TaskName, Evidence)>,
}

/// The runs that may have crashed their host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Blame {
    /// The suspected runs.
    pub suspects: Vec<RunKey>,
    /// Whether all of them belong to one job.
    pub sole: bool,
    /// Whether they had just started.
    pub young: bool,
    /// The age of the youngest of them.
    pub age: Millis,
    /// Whether no other hosts were lost at the same moment.
    pub is_own_loss: bool,
    /// What the crash proves against each of them.
    pub evidence: Vec<Evidence>,
}

impl Blame {
    /// Returns the runs among those lost with a host that may have crashed it.
    pub fn of(lost: &[LostRun]) -> Self {
        let is_young = |run: &&LostRun| run.age.0 < YOUNG_MS;
        let young = lost.iter().any(|run| is_young(&run));
        let suspects: Vec<&LostRun> = if young {
            lost.iter().filter(is_young).collect()
        } else {
            // Without a run that had just started, earlier crashes tell the suspects apart.
            let recent = || lost.iter().filter(|run| run.age.0 < OLD_MS);
            let most = recent().map(|run| run.crashes).max().unwrap_or_default();
            recent().filter(|run| run.crashes == most).collect()
        };
        let job = |run: &&LostRun| run.key.0.step.job;
        let first = suspects.first().map(job);
        Self {
            sole: first.is_some() && suspects.iter().all(|run| Some(job(run)) == first),
            age: suspects.iter().map(|run| run.age).min().unwrap_or_default(),
            suspects: suspects.into_iter().map(|run| run.key).collect(),
            young,
            is_own_loss: true,
            evidence: Vec::new(),
        }
    }

    /// Returns the accusation that follows from a judgement on runs that had just started.
    pub fn accusation(
        &self,
        others: Vec<(TaskName, Evidence)>,
        scene: &Scene,
    ) -> Option<Accusation> {
        let mut accused: Vec<WorkflowId> = Vec::new();
        accused.extend(self.suspects.iter().map(|(task, _)| task.step.job));
        accused.sort_unstable();
        accused.dedup();
        (self.young && !others.is_empty()).then(|| Accusation {
            scene: scene.clone(),
            accused,
            others,
        })
    }

    /// Returns the other runs that are not old.
    pub fn others(&self, lost: &[LostRun]) -> Vec<RunKey> {
        let recent = lost.iter().filter(|run| run.age.0 < OLD_MS);
        let keys = recent.map(|run| run.key);
        keys.filter(|key| !self.suspects.contains(key)).collect()
    }

    /// Returns the only suspected job.
    pub fn sole_job(&self) -> Option<WorkflowId> {
        let first = self.suspects.first().filter(|_| self.sole)?;
        Some(first.0.step.job)
    }
}

/// Returns whether proved crashes under a task are enough to give it up, if they are no coincidence.
pub fn is_convicted(crashes: &[Crash], evidence: &[Evidence]) -> bool {
    // A start that got no answer may not have begun.
    let is_unanswered = |run: u32| evidence.iter().any(|it| it.run == run && it.unanswered);
    let began = || crashes.iter().filter(|crash| !is_unanswered(crash.run));
    let Some(last) = began().next_back() else {
        return crashes.len() >= MAX_CRASHES;
    };
    // Crashes long after the start prove less, and so does the registry: one more is needed.
    let is_plain = |crash: &Crash| crash.young && crash.proof == CrashProof::Replaced;
    let needed = if began().all(is_plain) {
        CONVICTION_CRASHES
    } else {
        CONVICTION_CRASHES + 1
    };
    (last.sole && began().count() >= needed) || crashes.len() >= MAX_CRASHES
}
