//! Keeps which processes of hosts seem to have crashed until it is known whether they have.
//!
//! Load pattern: hosts are cut off with refused connections for longer than their leases and run on.
//! From the outside that looks like a crash. A suspicion confines a task at once and costs little; a
//! job is given up for good, so that only crashes count of which the end of the process is proved. The
//! proof may come after the runs were released, after another job was given up for the same crash, and
//! under another owner.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::freshness::CATCH_UP_MS;
use super::spec::RunKey;
use crate::ids::HostId;
use crate::time::Millis;

/// One life of the process on a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostBoot {
    /// The host.
    pub host: HostId,
    /// When the process started, in milliseconds since 1970; zero if that is not known.
    pub boot_ms: u64,
}

/// What became of a process that seemed to have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Fate {
    /// It answered again: it was cut off.
    #[display("went on")]
    WentOn,
    /// Another boot of its host answers or is registered.
    #[display("new boot")]
    NewBoot,
    /// Another executor answers at its address.
    #[display("replaced")]
    Replaced,
    /// The registry no longer lists it, although hosts reach the registry.
    #[display("unregistered")]
    Unregistered,
}

impl Fate {
    /// Returns what the fate proves of a crash.
    pub const fn proof(self) -> CrashProof {
        match self {
            Self::WentOn => CrashProof::Open,
            Self::Unregistered => CrashProof::Unregistered,
            Self::NewBoot | Self::Replaced => CrashProof::Replaced,
        }
    }
}

/// What proves that the process on a host has ended, the weakest first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashProof {
    /// Nothing: the host may be cut off.
    #[default]
    Open,
    /// The registry no longer lists the host, which may be cut off from the registry as well.
    Unregistered,
    /// Another process has taken its place.
    Replaced,
}

/// A process that seems to have crashed, and the runs under which it may have.
#[derive(Debug)]
struct LostBoot {
    boot: HostBoot,
    /// When it was last known to run; zero if an earlier owner lost it.
    lost: Millis,
    /// Since when the registry has not listed its host in a fresh view.
    unlisted: Option<Millis>,
    runs: Vec<SuspectedRun>,
}

/// A run under which a process may have crashed.
#[derive(Debug)]
struct SuspectedRun {
    key: RunKey,
    /// Whether the crash counts as proved already, which an answer of the same boot still disproves.
    is_presumed: bool,
}

impl LostBoot {
    fn has_run(&self, key: RunKey) -> bool {
        self.runs.iter().any(|run| run.key == key)
    }
}

/// What the registry says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Registration {
    /// It lists a boot, in milliseconds since 1970; zero if it does not say which.
    Listed(u64),
    /// It does not list the host.
    Missing,
}

/// A process of which it has become known whether it had crashed.
#[derive(Debug)]
pub(super) struct Settled {
    pub boot: HostBoot,
    pub fate: Fate,
    /// The runs under which it seemed to have crashed.
    pub runs: Vec<RunKey>,
}

/// The processes whose fate is open.
#[derive(Debug, Default)]
pub(super) struct CrashProofs {
    lost: Vec<LostBoot>,
}

impl CrashProofs {
    /// Adds a run under which a process may have crashed.
    pub fn add(&mut self, boot: &HostBoot, lost: Millis, run: RunKey) {
        let added = SuspectedRun {
            key: run,
            is_presumed: false,
        };
        if let Some(known) = self.lost.iter_mut().find(|it| it.boot == *boot) {
            known.lost = known.lost.max(lost);
            if !known.has_run(run) {
                known.runs.push(added);
            }
            return;
        }
        self.lost.push(LostBoot {
            boot: boot.clone(),
            lost,
            unlisted: None,
            runs: vec![added],
        });
    }

    /// Handles that an earlier owner had a proof of the crash under a run; which one is not known.
    pub fn presume(&mut self, run: RunKey) {
        let runs = self.lost.iter_mut().flat_map(|lost| &mut lost.runs);
        for presumed in runs.filter(|it| it.key == run) {
            presumed.is_presumed = true;
        }
    }

    /// Returns whether the fate of any process is open.
    pub fn is_empty(&self) -> bool {
        self.lost.is_empty()
    }

    /// Handles the answer of a boot to a call that was sent at `sent`.
    pub fn answer(&mut self, answered: &HostBoot, sent: Millis) -> Vec<Settled> {
        self.settle(|it| {
            if it.boot.host != answered.host {
                None
            } else if it.boot.boot_ms == answered.boot_ms {
                // An answer that was under way when the process crashed says nothing.
                (sent > it.lost).then_some(Fate::WentOn)
            } else {
                (it.boot.boot_ms != 0).then_some(Fate::NewBoot)
            }
        })
    }

    /// Handles that another executor answers at the address of a host.
    pub fn replace(&mut self, host: &HostId) -> Vec<Settled> {
        self.settle(|it| (it.boot.host == *host).then_some(Fate::Replaced))
    }

    /// Handles a fresh view of the registry; `None` if the view is stale. A host that could not write
    /// its entry during an outage of the store is listed again soon after it.
    pub fn look_up(
        &mut self,
        registration: Option<impl Fn(&HostId) -> Registration>,
        now: Millis,
    ) -> Vec<Settled> {
        let Some(registration) = registration else {
            self.lost.iter_mut().for_each(|it| it.unlisted = None);
            return Vec::new();
        };
        self.settle(|it| match registration(&it.boot.host) {
            Registration::Listed(boot_ms) => {
                it.unlisted = None;
                let is_later = it.boot.boot_ms != 0 && boot_ms > it.boot.boot_ms;
                is_later.then_some(Fate::NewBoot)
            }
            Registration::Missing => {
                let since = *it.unlisted.get_or_insert(now);
                (now.since(since).0 >= CATCH_UP_MS).then_some(Fate::Unregistered)
            }
        })
    }

    /// Forgets the runs whose crash no longer matters; `matters` gets the run and whether its crash is
    /// presumed.
    pub fn retain(&mut self, matters: impl Fn(&RunKey, bool) -> bool) {
        for lost in &mut self.lost {
            lost.runs.retain(|run| matters(&run.key, run.is_presumed));
        }
        self.lost.retain(|lost| !lost.runs.is_empty());
    }

    /// Returns the processes whose fate has become known to any of their runs, and removes those for which
    /// it is final.
    fn settle(&mut self, fate: impl Fn(&mut LostBoot) -> Option<Fate>) -> Vec<Settled> {
        let mut settled = Vec::new();
        self.lost.retain_mut(|lost| {
            let Some(fate) = fate(lost) else {
                return true;
            };
            let is_final = fate != Fate::Unregistered;
            let mut runs = Vec::new();
            for run in &mut lost.runs {
                if is_final || !run.is_presumed {
                    run.is_presumed = true;
                    runs.push(run.key);
                }
            }
            if !runs.is_empty() {
                settled.push(Settled {
                    boot: lost.boot.clone(),
                    fate,
                    runs,
                });
            }
            !is_final
        });
        settled
    }
}
