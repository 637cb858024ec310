//! What executors answer to orders.

use super::director::Director;
use super::host::{RunKey, Stage};
use super::message::{Action, How, Refusal, StartResult};
use crate::ids::HostId;
use crate::time::Millis;

/// How long a step waits after an order that was refused, in milliseconds: the next look corrects
/// the view by then.
const REFUSED_MS: u64 = 100;

impl Director {
    /// Takes in what became of an order to start; returns whether a higher epoch was met.
    pub fn start_result(
        &mut self,
        id: &HostId,
        key: RunKey,
        result: StartResult,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(claim) = self.claim(id, key) else {
            return false;
        };
        match result {
            StartResult::Started => {
                if claim.stage == Stage::Ordered {
                    claim.stage = Stage::Running;
                    claim.since = now;
                }
                if let Some(job) = self.jobs.get_mut(&key.0.step.job) {
                    job.started = true;
                }
                false
            }
            StartResult::Unknown => {
                if claim.stage == Stage::Ordered {
                    self.stop(id, key, now, out);
                    if let Some(claim) = self.claim(id, key) {
                        claim.stage = Stage::Doubt;
                    }
                }
                if let Some(host) = self.hosts.get_mut(id) {
                    host.failed(None, now);
                }
                false
            }
            StartResult::Refused(refusal) => {
                self.refused(id, key, refusal, now, out);
                refusal == Refusal::Fence
            }
        }
    }

    fn refused(
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
                    host.failed(None, now);
                }
                Refusal::Boot => host.known = false,
                Refusal::Fence | Refusal::Old | Refusal::Room | Refusal::Ticket => {}
            }
        }
        if let Some(step) = self.step(key.0.step) {
            step.pause = now + Millis(REFUSED_MS);
            if refusal == Refusal::Ticket {
                step.known.good.remove(id);
            }
        }
        self.finish(id, key, How::Stopped, "", now, out);
    }

    /// Takes in that a stop was answered.
    pub fn stop_result(&mut self, id: &HostId, key: RunKey, now: Millis) {
        if let Some(claim) = self.claim(id, key) {
            claim.stopped = Some(now);
        }
    }
}
