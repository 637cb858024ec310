//! Handles the answers of executors to start and stop orders.

use super::host::Stage;
use super::message::{Action, Proof, Refusal, StartResult};
use super::scheduler::WorkflowScheduler;
use super::spec::RunKey;
use crate::ids::HostId;
use crate::time::Millis;

/// The delay before a step is tried again after a refused order, in milliseconds; by then the next
/// report has corrected the state of the host.
const REFUSAL_PAUSE_MS: u64 = 100;

impl WorkflowScheduler {
    /// Applies the result of a start order; returns whether the executor has seen a higher epoch.
    pub fn start_result(
        &mut self,
        id: &HostId,
        key: RunKey,
        result: StartResult,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> bool {
        if result == StartResult::Started {
            self.begin_job(key.0.step.job);
        }
        let Some(claim) = self.claim(id, key) else {
            return false;
        };
        match result {
            StartResult::Started => {
                claim.confirmed = true;
                claim.answered.get_or_insert(now);
                if claim.stage == Stage::Ordered {
                    claim.stage = Stage::Running;
                    claim.since = now;
                }
                false
            }
            StartResult::Unknown => {
                if claim.stage == Stage::Ordered {
                    self.stop_run(id, key, now, out);
                    if let Some(claim) = self.claim(id, key) {
                        claim.stage = Stage::Uncertain;
                    }
                }
                if let Some(host) = self.hosts.get_mut(id) {
                    host.record_failure(None, now);
                }
                false
            }
            StartResult::Refused(refusal) => {
                self.start_refused(id, key, refusal, now, out);
                refusal == Refusal::Fence
            }
        }
    }

    fn start_refused(
        &mut self,
        id: &HostId,
        key: RunKey,
        refusal: Refusal,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        if let Some(host) = self.hosts.get_mut(id) {
            match refusal {
                Refusal::Unhealthy | Refusal::Invalid | Refusal::NotSent | Refusal::Late => {
                    host.record_failure(None, now);
                }
                Refusal::Boot => host.answered = false,
                Refusal::Fence
                | Refusal::Old
                | Refusal::Room
                | Refusal::Ticket
                | Refusal::Held
                | Refusal::Withdrawn => {}
            }
        }
        // A host from which starts are taken back gets no others.
        if refusal != Refusal::Withdrawn
            && let Some(step) = self.step(key.0.step)
        {
            step.not_before = now + Millis(REFUSAL_PAUSE_MS);
            if refusal == Refusal::Ticket {
                step.advice.allowed.remove(id);
            }
        }
        self.release(id, key, Proof::Refused, now, out);
    }

    /// Records that a stop order which was sent at `sent` was answered at `now`. An order from before
    /// a restart was known may have been answered by the earlier boot.
    pub fn stop_result(&mut self, id: &HostId, key: RunKey, sent: Millis, now: Millis) {
        let is_current = self
            .hosts
            .get(id)
            .is_some_and(|host| sent >= host.restarted);
        if is_current && let Some(claim) = self.claim(id, key) {
            claim.stop_answered = Some(now);
        }
    }
}
