//! Faults that are drawn by seed and overlap.

use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eyre::{Result, eyre};
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{sleep, timeout};

use super::lines::unix_ms;
use super::proxy::{Flow, Proxy};
use super::site::{Executor, Site};

/// How often the owner is killed in a row.
const TAKEOVERS: usize = 5;

/// The pause between changes of the configuration, in milliseconds.
const CHANGE_PAUSE_MS: u64 = 300;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Kind {
    /// The owner is frozen.
    #[display("freeze-owner")]
    FreezeOwner,
    /// An executor is frozen; its clock goes on.
    #[display("freeze-executor")]
    FreezeExecutor,
    /// All processes are frozen; the clocks go on.
    #[display("freeze-all")]
    FreezeAll,
    /// An executor is suspended, and its clock stands still.
    #[display("suspend-executor")]
    SuspendExecutor,
    /// All processes are suspended, and the clocks of executors and store stand still.
    #[display("suspend-all")]
    SuspendAll,
    /// An executor's address refuses new connections and open ones are reset.
    #[display("refused")]
    Refused,
    /// An executor's address refuses new connections; open ones work.
    #[display("refused-new")]
    RefusedNew,
    /// An executor's address refuses new connections; open ones are silent for good.
    #[display("refused-silent")]
    RefusedSilent,
    /// Open connections to an executor are silent for good; new ones work.
    #[display("silent")]
    Silent,
    /// Answers of an executor are held.
    #[display("held-back")]
    HeldBack,
    /// Calls to an executor are held.
    #[display("held-towards")]
    HeldTowards,
    /// Calls to an executor and its answers are held.
    #[display("held")]
    Held,
    /// All executors are cut from the gates.
    #[display("held-many")]
    HeldMany,
    /// The owner's calls to the store are refused.
    #[display("store-refused")]
    StoreRefused,
    /// The owner's calls to the store are held.
    #[display("store-held")]
    StoreHeld,
    /// The store is away; leases pause.
    #[display("store-away")]
    StoreAway,
    /// The store is away; leases end.
    #[display("store-expires")]
    StoreExpires,
    /// An executor shuts down, and a new one joins.
    #[display("drain")]
    Drain,
    /// An executor that drains cannot reach the store, and its address refuses connections.
    #[display("drain-cut")]
    DrainCut,
    /// An executor that drains loses the store and the gates in one cut, in which its address
    /// refuses new connections; open ones are silent and reset 2.6 s later.
    #[display("drain-cut-once")]
    DrainCutOnce,
    /// An executor that shuts down ends its registration and refuses new connections, and goes on
    /// with open ones until it exits.
    #[display("leave-slowly")]
    LeaveSlowly,
    /// An executor shuts down while a new one already listens at its address.
    #[display("replace")]
    Replace,
    /// The same, and open connections to the old executor are silent for good.
    #[display("replace-silent")]
    ReplaceSilent,
    /// The owner is killed and restarts.
    #[display("kill-owner")]
    KillOwner,
    /// An executor is killed and restarts under its identifier.
    #[display("kill-executor")]
    KillExecutor,
    /// Each owner is killed a few seconds after it took over.
    #[display("kill-owners")]
    KillOwners,
    /// The configuration changes several times a second.
    #[display("change-configuration")]
    ChangeConfiguration,
}

/// All kinds.
const KINDS: [Kind; 27] = [
    Kind::FreezeOwner,
    Kind::FreezeExecutor,
    Kind::FreezeAll,
    Kind::SuspendExecutor,
    Kind::SuspendAll,
    Kind::Refused,
    Kind::RefusedNew,
    Kind::RefusedSilent,
    Kind::Silent,
    Kind::HeldBack,
    Kind::HeldTowards,
    Kind::Held,
    Kind::HeldMany,
    Kind::StoreRefused,
    Kind::StoreHeld,
    Kind::StoreAway,
    Kind::StoreExpires,
    Kind::Drain,
    Kind::DrainCut,
    Kind::DrainCutOnce,
    Kind::LeaveSlowly,
    Kind::Replace,
    Kind::ReplaceSilent,
    Kind::KillOwner,
    Kind::KillExecutor,
    Kind::KillOwners,
    Kind::ChangeConfiguration,
];

impl FromStr for Kind {
    type Err = eyre::Report;

    fn from_str(name: &str) -> Result<Self> {
        let mut kinds = KINDS.into_iter();
        kinds
            .find(|kind| kind.to_string() == name)
            .ok_or_else(|| eyre!("there is no fault {name:?}"))
    }
}

/// A fault of a play.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Its kind.
    pub kind: Kind,
    /// When it begins, in milliseconds of the play.
    pub at: u64,
    /// How long it lasts, in milliseconds.
    pub ms: u64,
    /// Another time that the kind needs, in milliseconds.
    pub more: u64,
    /// Which process it hits.
    pick: usize,
}

/// Draws the faults of a play; `only` holds the kinds, empty for those that a steady clock survives.
pub fn draw(seed: u64, seconds: u64, only: &[Kind]) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let suspends = [Kind::SuspendExecutor, Kind::SuspendAll];
    let kinds: Vec<Kind> = if only.is_empty() {
        let all = KINDS.into_iter();
        all.filter(|kind| !suspends.contains(kind)).collect()
    } else {
        only.to_vec()
    };
    let mut faults = Vec::new();
    let mut at = 3_000;
    while at + 7_000 < seconds * 1_000 {
        let kind = kinds[rng.random_range(0..kinds.len())];
        let ms = match kind {
            Kind::FreezeExecutor | Kind::SuspendExecutor => rng.random_range(3_000..14_000),
            Kind::FreezeAll | Kind::SuspendAll => rng.random_range(4_000..7_000),
            Kind::StoreRefused | Kind::StoreHeld | Kind::StoreAway | Kind::StoreExpires => {
                rng.random_range(2_000..6_000)
            }
            _ if rng.random_bool(0.5) => rng.random_range(5_300..6_600),
            _ => rng.random_range(3_000..7_000),
        };
        faults.push(Fault {
            kind,
            at,
            ms,
            more: rng.random_range(0..10_000),
            pick: rng.random_range(0..1_000_000),
        });
        at += rng.random_range(500..3_500);
    }
    faults
}

fn note(kind: Kind, what: &str) {
    eprintln!("{} {kind}: {what}", super::time_of_day(unix_ms()));
}

async fn pause(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// Returns an identifier for a new executor.
fn next_id() -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    format!("n-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Carries out a fault and takes it back.
pub async fn inject(site: Arc<Site>, fault: Fault) -> Result<()> {
    let kind = fault.kind;
    let executors = site.executors();
    let Some(executor) = executors.get(fault.pick % executors.len().max(1)) else {
        return Ok(());
    };
    match kind {
        Kind::FreezeOwner
        | Kind::FreezeExecutor
        | Kind::SuspendExecutor
        | Kind::FreezeAll
        | Kind::SuspendAll => freeze(&site, fault, executor).await,
        Kind::Refused
        | Kind::RefusedNew
        | Kind::RefusedSilent
        | Kind::Silent
        | Kind::HeldBack
        | Kind::HeldTowards
        | Kind::Held
        | Kind::HeldMany => cut_executor(&site, fault, executor).await,
        Kind::StoreRefused | Kind::StoreHeld => cut_owner(&site, fault).await,
        Kind::StoreAway | Kind::StoreExpires => stop_store(&site, fault).await,
        Kind::Drain
        | Kind::DrainCut
        | Kind::DrainCutOnce
        | Kind::LeaveSlowly
        | Kind::Replace
        | Kind::ReplaceSilent => {
            shut_down(&site, fault, executor).await?;
        }
        Kind::KillOwner => kill_owner(&site, kind, 200 + fault.more / 5).await?,
        Kind::KillOwners => {
            for _ in 0..TAKEOVERS {
                kill_owner(&site, kind, 200 + fault.more / 20).await?;
                pause(fault.ms / 2).await;
            }
        }
        Kind::ChangeConfiguration => {
            note(kind, &format!("for {} ms", fault.ms));
            for _ in 0..fault.ms / CHANGE_PAUSE_MS {
                // The next change replaces one that the store did not take.
                site.change_configuration().await;
                pause(CHANGE_PAUSE_MS).await;
            }
        }
        Kind::KillExecutor => {
            note(kind, &executor.id);
            site.kill_executor(executor).await;
            pause(100 + fault.more / 4).await;
            site.replace_executor(&executor.id, executor)?;
        }
    }
    note(kind, "over");
    Ok(())
}

/// Kills the owner and starts it again after a while.
async fn kill_owner(site: &Site, kind: Kind, away_ms: u64) -> Result<()> {
    let owner = site.owner().await;
    note(kind, &owner.name);
    owner.signal(Signal::SIGKILL);
    while !owner.has_ended() {
        pause(5).await;
    }
    pause(away_ms).await;
    owner.restart()?;
    Ok(())
}

/// Stops processes for a while, and the clocks of suspended executors with them.
async fn freeze(site: &Site, fault: Fault, executor: &Executor) {
    let Fault { kind, ms, .. } = fault;
    if kind == Kind::FreezeOwner {
        let owner = site.owner().await;
        note(kind, &format!("{} for {ms} ms", owner.name));
        owner.signal(Signal::SIGSTOP);
        pause(ms).await;
        owner.signal(Signal::SIGCONT);
        return;
    }
    let is_all = matches!(kind, Kind::FreezeAll | Kind::SuspendAll);
    let name = if is_all { "everything" } else { &executor.id };
    note(kind, &format!("{name} for {ms} ms"));
    if kind == Kind::SuspendExecutor {
        executor.command("stand-still").await;
        pause(30).await;
    } else if kind == Kind::SuspendAll {
        for executor in site.executors() {
            executor.command("stand-still").await;
        }
        site.command_store("pause").await;
        pause(30).await;
    }
    let send = |signal: Signal| {
        if is_all {
            site.signal_all(signal);
        } else {
            executor.signal(signal);
        }
    };
    send(Signal::SIGSTOP);
    pause(ms).await;
    if kind == Kind::SuspendAll {
        site.command_store("back").await;
    }
    send(Signal::SIGCONT);
}

/// Impairs the network between gates and an executor.
async fn cut_executor(site: &Site, fault: Fault, executor: &Executor) {
    let Fault { kind, ms, .. } = fault;
    let link = &executor.link;
    note(kind, &format!("{} for {ms} ms", executor.id));
    match kind {
        Kind::Refused | Kind::RefusedNew | Kind::RefusedSilent => {
            link.refuse(true);
            match kind {
                Kind::Refused => link.reset(),
                Kind::RefusedSilent => link.silence(true, true),
                _ => {}
            }
            pause(ms).await;
            link.refuse(false);
        }
        Kind::Silent => link.silence(true, fault.more.is_multiple_of(2)),
        Kind::HeldMany => {
            let executors = site.executors();
            for executor in &executors {
                hold(kind, &executor.link);
            }
            pause(ms).await;
            for executor in &executors {
                executor.link.set_flow(Flow::Pass, Flow::Pass);
            }
        }
        _ => {
            hold(kind, link);
            pause(ms).await;
            link.set_flow(Flow::Pass, Flow::Pass);
        }
    }
}

/// Cuts the owner from the store.
async fn cut_owner(site: &Site, fault: Fault) {
    let owner = site.owner().await;
    note(fault.kind, &format!("{} for {} ms", owner.name, fault.ms));
    if fault.kind == Kind::StoreRefused {
        owner.store.refuse(true);
        owner.store.reset();
    } else {
        owner.store.set_flow(Flow::Hold, Flow::Hold);
    }
    pause(fault.ms).await;
    owner.store.refuse(false);
    owner.store.set_flow(Flow::Pass, Flow::Pass);
}

/// Takes the store away from all processes.
async fn stop_store(site: &Site, fault: Fault) {
    note(fault.kind, &format!("for {} ms", fault.ms));
    let is_paused = fault.kind == Kind::StoreAway;
    let command = if is_paused { "pause" } else { "expire" };
    site.command_store(command).await;
    let executors = site.executors();
    let links = || {
        let gates = site.gates.iter().map(|gate| &gate.store);
        gates.chain(executors.iter().map(|it| &it.store))
    };
    // In the other cases it answers 503.
    if !fault.more.is_multiple_of(3) {
        for link in links() {
            link.refuse(true);
            link.reset();
        }
    }
    pause(fault.ms).await;
    site.command_store("back").await;
    for link in links() {
        link.refuse(false);
    }
}

fn hold(kind: Kind, link: &Proxy) {
    let flow = |holds: bool| if holds { Flow::Hold } else { Flow::Pass };
    link.set_flow(
        flow(kind != Kind::HeldBack),
        flow(kind != Kind::HeldTowards),
    );
}

/// Shuts an executor down in the way of the kind of fault; a new one takes its place.
async fn shut_down(site: &Site, fault: Fault, old: &Arc<Executor>) -> Result<()> {
    let Fault { kind, more, .. } = fault;
    note(kind, &format!("{} drains for 2 s and {more} ms", old.id));
    old.command(&format!("drain {more}")).await;
    let mut new = None;
    match kind {
        Kind::DrainCut => {
            pause(500).await;
            note(kind, &format!("{} no longer reaches the store", old.id));
            old.store.refuse(true);
            old.store.reset();
            // Its registration ends 3 to 4.5 s later.
            let late = fault.ms - 3_000;
            pause(2_500 + late).await;
            note(kind, &format!("{} refuses connections", old.id));
            old.link.refuse(true);
            old.link.reset();
            pause(fault.ms).await;
            old.link.refuse(false);
            old.store.refuse(false);
        }
        Kind::DrainCutOnce => {
            pause(500).await;
            // The cut begins shortly before a heartbeat, so that the registration ends early in it.
            let beat = old.store.next_connection();
            let _ = timeout(Duration::from_secs(3), beat).await;
            pause(1_400).await;
            note(kind, &format!("{} is cut for {} ms", old.id, fault.ms));
            for link in [&old.store, &*old.link] {
                link.refuse(true);
                link.silence(true, true);
            }
            pause(2_600).await;
            old.link.reset();
            pause(fault.ms).await;
            old.link.refuse(false);
            old.store.refuse(false);
        }
        Kind::LeaveSlowly => {
            pause(2_000).await;
            note(kind, &format!("{} ends its registration", old.id));
            old.link.refuse(true);
            old.command("deregister").await;
        }
        Kind::Replace | Kind::ReplaceSilent => {
            pause(500 + fault.ms / 4).await;
            let id = next_id();
            note(kind, &format!("{id} listens at the address of {}", old.id));
            new = Some(site.replace_executor(&id, old)?);
            if kind == Kind::ReplaceSilent {
                old.link.silence(true, true);
            }
        }
        _ => {}
    }
    while !old.has_ended() {
        pause(20).await;
    }
    site.remove_executor(old);
    if new.is_none() {
        old.link.refuse(true);
        old.link.reset();
        pause(1_000).await;
        site.add_executor(&next_id(), fault.pick)?;
    }
    Ok(())
}
