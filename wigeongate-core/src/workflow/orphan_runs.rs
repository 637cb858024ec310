//! Runs that hosts report for jobs that are not known.

use super::host::RunKey;
use super::spec::WorkflowId;
use crate::collections::HashMap;
use crate::ids::HostId;

/// The runs of unknown jobs with their hosts: the job may be archived, or not submitted yet.
#[derive(Debug, Default)]
pub struct OrphanRuns(HashMap<WorkflowId, Vec<(HostId, RunKey)>>);

impl OrphanRuns {
    /// Adds a run that holds a claim on a host.
    pub fn add(&mut self, host: &HostId, run: RunKey) {
        let runs = self.0.entry(run.0.step.job).or_default();
        runs.push((host.clone(), run));
    }

    /// Removes a run that holds no claim any more.
    pub fn remove(&mut self, host: &HostId, run: RunKey) {
        let job = run.0.step.job;
        if let Some(runs) = self.0.get_mut(&job) {
            runs.retain(|(other, key)| (other, *key) != (host, run));
            if runs.is_empty() {
                self.0.remove(&job);
            }
        }
    }

    /// Takes the runs of a job that has become known.
    pub fn take(&mut self, job: WorkflowId) -> Vec<(HostId, RunKey)> {
        self.0.remove(&job).unwrap_or_default()
    }
}
