//! Runs that hosts report for jobs that are not known, until these are submitted or the runs end: the job
//! may be archived, or not submitted yet.

use super::spec::{RunKey, WorkflowId};
use crate::collections::HashMap;
use crate::ids::HostId;

/// The runs of unknown jobs, with their hosts.
#[derive(Debug, Default)]
pub(super) struct OrphanRuns(HashMap<WorkflowId, Vec<(HostId, RunKey)>>);

impl OrphanRuns {
    /// Adds a run on a host.
    pub fn add(&mut self, host: &HostId, run: RunKey) {
        let runs = self.0.entry(run.0.step.job).or_default();
        runs.push((host.clone(), run));
    }

    /// Removes and returns the runs of a job.
    pub fn take(&mut self, job: WorkflowId) -> Vec<(HostId, RunKey)> {
        self.0.remove(&job).unwrap_or_default()
    }

    /// Removes a run that has ended on a host.
    pub fn remove(&mut self, host: &HostId, run: RunKey) {
        let job = run.0.step.job;
        if let Some(runs) = self.0.get_mut(&job) {
            runs.retain(|(other, key)| other != host || *key != run);
            if runs.is_empty() {
                self.0.remove(&job);
            }
        }
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
