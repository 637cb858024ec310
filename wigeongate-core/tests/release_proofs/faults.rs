//! The kinds of faults, and the schedule that a seed draws from them.

/// A kind of fault that a history may contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Hosts announce that they shut down, and go on for long.
    Drain,
    /// Hosts that have announced their shutdown exit.
    Exit,
    /// The path between the owner and a host is cut.
    Cut,
    /// Connections that are open when a cut begins stay silent; otherwise they are reset.
    SilentConnections,
    /// The path of a host to the store is cut at another time than the path to the owner.
    StoreCut,
    /// The store is down for a while, and loses entries of live hosts.
    StoreOutage,
    /// A process closes its listener and goes on while its successor answers at the address.
    Handover,
    /// A process ends, and another one starts under the same identifier at another address, while an
    /// executor with another identifier starts at its own.
    Move,
    /// Some answers take long.
    SlowAnswer,
    /// A process ends, and another one starts under the same identifier.
    Restart,
    /// A process ends, and another one starts under a new identifier.
    Crash,
    /// Calls get no answer and are carried out seconds later.
    LateCall,
    /// A quarter of all calls are carried out late.
    OftenLate,
    /// The owner's process is paused.
    Pause,
    /// The clocks of executors run slowly.
    SlowClock,
    /// An executor stands still while its clock goes on.
    Standstill,
    /// The owner's clock counts a time that the executors' clocks do not.
    Suspension,
}

/// What calls meet on a path that is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutMode {
    /// New connections are refused.
    Refused,
    /// New connections get no answer.
    Silent,
    /// Requests on open connections arrive, and their answers are lost.
    AnswersLost,
}

/// A cut between the owner and a machine.
#[derive(Debug, Clone, Copy)]
pub struct Cut {
    pub mode: CutMode,
    /// Whether open connections are reset at once.
    pub resets: bool,
    /// Whether what was sent on open connections arrives after the cut; otherwise it is lost.
    pub holds: bool,
    pub until: u64,
}

/// A fault at one machine or at the owner.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Drain { machine: usize, serves_ms: u64 },
    CutOff { machine: usize, cut: Cut },
    StoreCutOff { machine: usize, until: u64 },
    StoreDown { until: u64, expires: bool },
    CloseListener { machine: usize, lasts_ms: u64 },
    Succeed { machine: usize },
    End { machine: usize },
    Return { machine: usize, keeps_id: bool },
    Move { machine: usize },
    Pause { until: u64 },
    StandStill { machine: usize, until: u64 },
    Suspend { ms: u64 },
}

/// A seeded random number generator.
#[derive(Debug, Clone)]
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound.max(1)
    }

    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// Draws the faults of a history with their times.
pub fn schedule(kinds: &[Kind], machines: usize, until: u64, rng: &mut Rng) -> Vec<(u64, Fault)> {
    let mut faults = Vec::new();
    for machine in 0..machines {
        at_machine(kinds, machine, until, rng, &mut faults);
    }
    let has = |kind| kinds.contains(&kind);
    if has(Kind::StoreOutage) && rng.chance(60) {
        let at = rng.between(5_000, until);
        let until = at + rng.between(500, 7_000);
        let expires = rng.chance(60);
        faults.push((at, Fault::StoreDown { until, expires }));
    }
    if has(Kind::Pause) {
        for _ in 0..rng.below(3) {
            let at = rng.between(3_000, until);
            let until = at + rng.between(100, 8_000);
            faults.push((at, Fault::Pause { until }));
        }
    }
    if has(Kind::Suspension) {
        let ms = rng.between(500, 8_000);
        faults.push((rng.between(3_000, until), Fault::Suspend { ms }));
    }
    faults
}

fn at_machine(
    kinds: &[Kind],
    machine: usize,
    until: u64,
    rng: &mut Rng,
    faults: &mut Vec<(u64, Fault)>,
) {
    let has = |kind| kinds.contains(&kind);
    let mut at = rng.between(4_000, until);
    let mut cut_at = None;
    let mut is_draining = false;
    if has(Kind::Drain) && rng.chance(45) {
        let serves_ms = if has(Kind::Exit) && rng.chance(60) {
            rng.between(2_000, 10_000)
        } else {
            u64::MAX
        };
        faults.push((at, Fault::Drain { machine, serves_ms }));
        at += rng.below(4_000);
        is_draining = true;
    }
    if has(Kind::Cut) && rng.chance(70) {
        let mode = match rng.below(4) {
            0 | 1 => CutMode::Refused,
            2 => CutMode::Silent,
            _ => CutMode::AnswersLost,
        };
        let end = at + rng.between(500, 8_000);
        // A host that has announced its shutdown may look as if it had exited.
        let (mode, end) = if is_draining && rng.chance(70) {
            (CutMode::Refused, at + rng.between(4_000, 8_000))
        } else {
            (mode, end)
        };
        cut_at = Some(at);
        let cut = Cut {
            mode,
            resets: !has(Kind::SilentConnections) || rng.chance(30),
            holds: rng.chance(50),
            until: end,
        };
        let (from, end) = if has(Kind::StoreCut) {
            let from = at.saturating_sub(rng.below(5_000)) + rng.below(1_500);
            (from, from + rng.between(500, 9_000))
        } else {
            (at, end)
        };
        faults.push((at, Fault::CutOff { machine, cut }));
        let until = end;
        faults.push((from, Fault::StoreCutOff { machine, until }));
    } else if has(Kind::StoreCut) && rng.chance(70) {
        let until = at + rng.between(500, 9_000);
        faults.push((at, Fault::StoreCutOff { machine, until }));
    }
    if has(Kind::Handover) && rng.chance(40) {
        let at = at + rng.below(3_000);
        let lasts_ms = rng.between(200, 8_000);
        faults.push((at, Fault::CloseListener { machine, lasts_ms }));
        faults.push((at + rng.below(1_500), Fault::Succeed { machine }));
    }
    if has(Kind::Move) && rng.chance(40) {
        let at = rng.between(4_000, until);
        faults.push((at, Fault::Move { machine }));
    }
    for (kind, keeps_id) in [(Kind::Restart, true), (Kind::Crash, false)] {
        if has(kind) && rng.chance(30) {
            let lasts_ms = rng.between(100, 3_000);
            // The cut may follow before the leases of the earlier process have ended.
            let before_cut = cut_at.filter(|_| rng.chance(50));
            let at = match before_cut {
                Some(cut) => cut.saturating_sub(lasts_ms + rng.below(4_000)),
                None => rng.between(4_000, until),
            };
            faults.push((at, Fault::End { machine }));
            let back = at + lasts_ms;
            faults.push((back, Fault::Return { machine, keeps_id }));
        }
    }
    if has(Kind::Standstill) && rng.chance(40) {
        let at = rng.between(4_000, until);
        let until = at + rng.between(500, 8_000);
        faults.push((at, Fault::StandStill { machine, until }));
    }
}
