//! The faults that may come together in a history.

use super::faults::Kind;

/// Faults that may come together.
pub struct Case {
    pub name: &'static str,
    pub kinds: &'static [Kind],
}

/// Faults under which every proof holds.
pub const SOUND: &[Case] = &[
    Case {
        name: "hosts that are cut off",
        kinds: &[Kind::Cut, Kind::SlowClock],
    },
    Case {
        name: "cuts that nobody notices, and an owner that is paused",
        kinds: &[
            Kind::Cut,
            Kind::SilentConnections,
            Kind::SlowClock,
            Kind::Pause,
        ],
    },
    Case {
        name: "hosts that shut down",
        kinds: &[Kind::Drain, Kind::Exit, Kind::SlowClock],
    },
    Case {
        name: "hosts that shut down during outages, with late calls",
        kinds: &[
            Kind::Drain,
            Kind::Exit,
            Kind::StoreOutage,
            Kind::LateCall,
            Kind::Pause,
            Kind::Standstill,
            Kind::SlowClock,
        ],
    },
    Case {
        name: "hosts that restart and crash",
        kinds: &[Kind::Restart, Kind::Crash, Kind::Standstill],
    },
    Case {
        name: "hosts that move during outages",
        kinds: &[Kind::Move, Kind::Crash, Kind::StoreOutage],
    },
    Case {
        name: "hosts that shut down while their path to the store is cut",
        kinds: &[
            Kind::Drain,
            Kind::Exit,
            Kind::StoreCut,
            Kind::Restart,
            Kind::Crash,
            Kind::SlowAnswer,
            Kind::LateCall,
            Kind::Pause,
            Kind::Standstill,
        ],
    },
    Case {
        name: "many late calls behind cuts",
        kinds: &[
            Kind::OftenLate,
            Kind::Crash,
            Kind::Cut,
            Kind::SilentConnections,
            Kind::StoreCut,
            Kind::SlowClock,
        ],
    },
    Case {
        name: "hosts that restart and crash behind cuts",
        kinds: &[
            Kind::Cut,
            Kind::SilentConnections,
            Kind::StoreCut,
            Kind::StoreOutage,
            Kind::Restart,
            Kind::Crash,
            Kind::SlowAnswer,
            Kind::Pause,
            Kind::SlowClock,
            Kind::Standstill,
        ],
    },
];

/// Faults that make a draining host look as if it had exited.
pub const DRAINS: &[Case] = &[
    Case {
        name: "open connections stay silent",
        kinds: &[Kind::Drain, Kind::Cut, Kind::SilentConnections],
    },
    Case {
        name: "the path to the store is cut at another time",
        kinds: &[Kind::Drain, Kind::Cut, Kind::StoreCut],
    },
    Case {
        name: "the path to the store is cut at another time and connections stay silent",
        kinds: &[
            Kind::Drain,
            Kind::Cut,
            Kind::StoreCut,
            Kind::SilentConnections,
        ],
    },
    Case {
        name: "the owner is paused",
        kinds: &[Kind::Drain, Kind::Cut, Kind::Pause],
    },
    Case {
        name: "the store is down as well",
        kinds: &[
            Kind::Drain,
            Kind::Exit,
            Kind::Cut,
            Kind::SilentConnections,
            Kind::StoreCut,
            Kind::StoreOutage,
        ],
    },
];

/// Faults beside a process that goes on while its successor answers at its address.
pub const HANDOVERS: &[Case] = &[
    Case {
        name: "its successor answers at its address",
        kinds: &[Kind::Handover],
    },
    Case {
        name: "its successor answers at its address after a cut",
        kinds: &[Kind::Handover, Kind::Cut],
    },
    Case {
        name: "orders are carried out late",
        kinds: &[Kind::Handover, Kind::LateCall],
    },
    Case {
        name: "it stands still",
        kinds: &[Kind::Handover, Kind::Standstill],
    },
    Case {
        name: "all faults",
        kinds: &[
            Kind::Drain,
            Kind::Exit,
            Kind::Cut,
            Kind::SilentConnections,
            Kind::StoreCut,
            Kind::StoreOutage,
            Kind::Handover,
            Kind::Restart,
            Kind::Crash,
            Kind::Move,
            Kind::SlowAnswer,
            Kind::LateCall,
            Kind::Pause,
            Kind::SlowClock,
            Kind::Standstill,
        ],
    },
    Case {
        name: "all faults but those of draining hosts and restarts",
        kinds: &[
            Kind::Handover,
            Kind::Cut,
            Kind::SilentConnections,
            Kind::StoreCut,
            Kind::StoreOutage,
            Kind::Crash,
            Kind::Move,
            Kind::SlowAnswer,
            Kind::LateCall,
            Kind::Pause,
            Kind::SlowClock,
            Kind::Standstill,
        ],
    },
];
