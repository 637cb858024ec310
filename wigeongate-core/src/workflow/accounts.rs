//! What the scheduler counts as in use and as waiting, for comparisons between owners.

use std::collections::BTreeMap;

use super::host::Stage;
use super::scheduler::WorkflowScheduler;
use super::spec::{StepId, TaskName};
use crate::ids::{HostId, TeamId};
use crate::resources::Resources;

/// What a host counts as in use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostAccount {
    /// The sum of all claims.
    pub used: Resources,
    /// The capacity that lasting runs leave.
    pub spare: Resources,
    /// Each claim: its size and whether it lasts until its job is cancelled.
    pub claims: BTreeMap<(TaskName, u32), (Resources, bool)>,
    /// The number of runs of each step.
    pub runs: BTreeMap<StepId, u32>,
    /// How many runs would be lost with the host: those that end by themselves, and those that last.
    pub at_risk: (usize, usize),
}

/// What a step counts as open.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepAccount {
    /// Whether its waiting tasks may start.
    pub is_ready: bool,
    /// Tasks that wait for a host.
    pub waiting: u32,
    /// Tasks that have not succeeded.
    pub remaining: u32,
    /// The runs of its tasks that hold claims, with their hosts.
    pub placements: Vec<(TaskName, HostId, u32)>,
    /// How often it, and each of its tasks that has, failed.
    pub failures: Vec<usize>,
}

/// What an owner counts. An owner that has restored its state and has heard all hosts counts the same as
/// the one before, but for orders under way.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Accounts {
    /// The hosts with claims.
    pub hosts: BTreeMap<HostId, HostAccount>,
    /// What the runs of each team use.
    pub teams: BTreeMap<TeamId, Resources>,
    /// The steps of open jobs.
    pub steps: BTreeMap<StepId, StepAccount>,
    /// The number of runs of which an order is under way.
    pub unsettled: usize,
}

impl WorkflowScheduler {
    /// Returns what the scheduler counts.
    pub fn accounts(&self) -> Accounts {
        let mut accounts = Accounts::default();
        let claimed = self
            .hosts
            .iter()
            .filter(|(_, host)| !host.claims.is_empty());
        for (id, host) in claimed {
            let mut account = HostAccount {
                used: host.used,
                spare: host.spare(),
                at_risk: host.at_risk(),
                ..HostAccount::default()
            };
            for (key, claim) in &host.claims {
                account.claims.insert(*key, (claim.size, claim.lasting));
                *account.runs.entry(key.0.step).or_default() += 1;
                accounts.unsettled += usize::from(claim.stage != Stage::Running);
            }
            accounts.hosts.insert(id.clone(), account);
        }
        let in_use = self.usage.iter().filter(|(_, used)| !used.is_zero());
        accounts.teams = in_use.map(|(team, used)| (team.clone(), *used)).collect();
        for job in self.jobs.values().filter(|job| job.end.is_none()) {
            for (at, step) in job.steps() {
                let mut placements: Vec<_> = step
                    .runs(at)
                    .into_iter()
                    .map(|(host, (task, run))| (task, host, run))
                    .collect();
                placements.sort();
                let of_tasks = step.tasks.held().map(|(_, task)| task.failed.len());
                let of_tasks = of_tasks.filter(|failures| *failures > 0);
                let account = StepAccount {
                    is_ready: step.waiting > 0 && self.ready.contains(&at),
                    waiting: step.waiting,
                    remaining: step.remaining,
                    placements,
                    failures: std::iter::once(step.failed.len()).chain(of_tasks).collect(),
                };
                accounts.steps.insert(at, account);
            }
        }
        accounts
    }
}
