//! What the owner logs and counts of the ends of runs and the losses of hosts.

use tracing::{info, warn};
use wigeongate_core::ids::HostId;
use wigeongate_core::workflow::{
    Evidence, Fate, HostBoot, HostContact, HostReport, Proof, TaskName,
};

use super::super::contact_ages::ContactAges;
use super::Owner;

impl Owner {
    /// Logs and measures the runs that a report lists as ended.
    pub(super) fn log_ended_runs(&mut self, host: &HostId, report: &HostReport) {
        let now = self.shared.now();
        for ended in &report.ended {
            if let Some(started) = self.start_times.remove(&(ended.task, ended.run)) {
                let ran = now.since(started);
                let how = ended.outcome.to_string();
                let metrics = &self.shared.metrics;
                metrics.record_duration("run", &how, ran);
                let sample = self.scheduler.run_sample(host, ended, now);
                if let Some(sample) = &sample {
                    let (forecast, estimate) = (sample.forecast_error(), sample.estimate_error());
                    metrics.record_percent("forecast_error", sample.queue.as_str(), forecast);
                    metrics.record_percent("estimate_error", sample.queue.as_str(), estimate);
                }
                let sample = sample.as_ref();
                info!(task = %ended.task, run = ended.run, host = %host, how, ran_ms = ran.0,
                    measured_ms = sample.map(|sample| sample.ran.0),
                    estimate_ms = sample.map(|sample| sample.estimate.0),
                    forecast_ms = sample.map(|sample| sample.forecast.0),
                    "owner: the run ended.");
            }
        }
    }

    /// Logs that a run ended without a report, what proves it, and what that rests on.
    pub(super) fn report_release(
        &mut self,
        host: &HostId,
        (task, run): (TaskName, u32),
        proof: Proof,
        contact: HostContact,
    ) {
        self.shared.metrics.count("released", &proof.to_string());
        let started = self.start_times.remove(&(task, run));
        if proof == Proof::Refused {
            return;
        }
        let now = self.shared.now();
        let ran_ms = started.map(|at| now.since(at).0);
        let owned_ms = now.since(self.began).0;
        let contact = ContactAges::new(&contact, now);
        info!(%task, run, %host, %proof, ran_ms, epoch = self.epoch, owned_ms, %contact,
            "owner: the run ended without a report.");
    }

    /// Logs that a run goes on that counted as ended; its task may run twice.
    pub(super) fn report_return(
        &self,
        host: &HostId,
        (task, run): (TaskName, u32),
        newest: u32,
        contact: HostContact,
    ) {
        self.shared.metrics.count("returned", "run");
        let contact = ContactAges::new(&contact, self.shared.now());
        warn!(%task, run, newest, %host, epoch = self.epoch, %contact,
            "owner: a run that counted as ended goes on; its task may run twice.");
    }

    /// Logs the loss of a host with its runs.
    pub(super) fn report_loss(&self, host: &HostId, runs: usize, suspects: &[(TaskName, u32)]) {
        let names: Vec<String> = suspects.iter().map(|(task, _)| task.to_string()).collect();
        info!(%host, runs, suspects = names.join(" "), "owner: a host was lost with its runs.");
        self.shared.metrics.count(
            "host_lost",
            if suspects.is_empty() {
                "no suspect"
            } else {
                "suspects"
            },
        );
    }

    /// Logs and counts that a job is given up for the crashes under a task.
    pub(super) fn report_verdict(&self, task: TaskName, evidence: &[Evidence]) {
        let evidence: Vec<String> = evidence.iter().map(ToString::to_string).collect();
        self.shared.metrics.count("verdicts", "crashes");
        info!(%task, job = %task.step.job, evidence = evidence.join("; "),
            "owner: hosts crash under a task of the job; the job is given up.");
    }

    /// Logs what became of a process that seemed to have crashed.
    pub(super) fn report_fate(&self, boot: &HostBoot, fate: Fate, suspects: &[(TaskName, u32)]) {
        let names: Vec<String> = suspects.iter().map(|(task, _)| task.to_string()).collect();
        info!(host = %boot.host, boot_ms = boot.boot_ms, %fate, suspects = names.join(" "),
            "owner: the loss of a host is settled.");
        self.shared.metrics.count("host_fate", &fate.to_string());
    }
}
