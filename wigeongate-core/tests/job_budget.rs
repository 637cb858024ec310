//! What gates accept of the memory of their owner.

use wigeongate_core::ids::GateId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{JobBudget, Reservation, RoomShare};

const MB: u64 = 1 << 20;

/// The time between greetings of a gate, in milliseconds.
const GREETING_MS: u64 = 1_000;

/// The time from the acceptance of a job until the owner holds it, in milliseconds.
const SUBMIT_MS: u64 = 40;

fn gate(at: usize) -> GateId {
    GateId::from(format!("gate-{at}"))
}

/// Gates that accept jobs as fast as they may, and their owner.
struct Deployment {
    budget: JobBudget,
    gates: Vec<RoomShare>,
    /// Accepted jobs that are on their way: when they arrive, the gate, and the bytes.
    sent: Vec<(u64, usize, u64)>,
    /// The bytes that the owner holds.
    held: u64,
    /// The bytes of all accepted jobs.
    accepted: u64,
    now: u64,
}

impl Deployment {
    fn new(budgets: &[u64]) -> Self {
        Self {
            budget: JobBudget::default(),
            gates: budgets.iter().map(|bytes| RoomShare::new(*bytes)).collect(),
            sent: Vec::new(),
            held: 0,
            accepted: 0,
            now: 1_000,
        }
    }

    fn greet(&mut self, at: usize) {
        self.ask(at, 0);
    }

    /// Asks for what a gate may accept.
    fn ask(&mut self, at: usize, wanted: u64) {
        let request = self.gates[at].request(wanted);
        let now = Millis(self.now);
        let room = self.budget.allot(&gate(at), &request, self.held, now);
        self.gates[at].install(room);
    }

    /// Offers a job to a gate; returns whether it is accepted.
    fn offer(&mut self, at: usize, bytes: u64) -> bool {
        if let Reservation::Ask(wanted) = self.gates[at].reserve(bytes) {
            self.ask(at, wanted);
            if self.gates[at].reserve(bytes) != Reservation::Granted {
                return false;
            }
        }
        self.accepted += bytes;
        self.sent.push((self.now + SUBMIT_MS, at, bytes));
        true
    }

    /// Lets jobs arrive and gates greet the owner, each at its own time of a second.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            let arrived = self.sent.extract_if(.., |(at, ..)| *at <= self.now);
            for (_, at, bytes) in arrived.collect::<Vec<_>>() {
                self.held += bytes;
                self.budget.hold(&gate(at), bytes);
                self.gates[at].settle(bytes);
            }
            for at in 0..self.gates.len() {
                let phase = u64::try_from(at).unwrap_or(0) * 37 % GREETING_MS;
                if self.now % GREETING_MS == phase {
                    self.greet(at);
                }
            }
        }
    }
}

struct Case {
    name: &'static str,
    gates: usize,
    /// The gates that get jobs.
    busy: usize,
    /// Jobs a millisecond at each of them.
    per_ms: u64,
    bytes: u64,
}

/// Guards against gates that accept more than their owner can hold, since each knows only an older
/// figure of what is left; and against a budget of which idle gates keep the most.
#[test]
fn gates_accept_what_the_owner_can_hold_and_no_more() {
    let cases = [
        Case {
            name: "one gate",
            gates: 1,
            busy: 1,
            per_ms: 1,
            bytes: 3_000,
        },
        Case {
            name: "a busy gate among many",
            gates: 47,
            busy: 1,
            per_ms: 1,
            bytes: 3_000,
        },
        Case {
            name: "all gates",
            gates: 47,
            busy: 47,
            per_ms: 1,
            bytes: 3_000,
        },
        Case {
            name: "few gates in a burst",
            gates: 6,
            busy: 6,
            per_ms: 5,
            bytes: 2_500,
        },
        Case {
            name: "large jobs",
            gates: 9,
            busy: 3,
            per_ms: 1,
            bytes: 900_000,
        },
    ];
    for case in cases {
        let budget = 20 * MB;
        let mut deployment = Deployment::new(&vec![budget; case.gates]);
        for at in 0..case.gates {
            deployment.greet(at);
        }
        for _ in 0..20_000 {
            for at in 0..case.busy {
                for _ in 0..case.per_ms {
                    deployment.offer(at, case.bytes);
                }
            }
            deployment.advance(1);
            let accepted = deployment.accepted;
            assert!(
                accepted <= budget,
                "{}: {accepted} bytes are accepted",
                case.name
            );
        }
        let accepted = deployment.accepted;
        let least = budget / 10 * 7;
        assert!(
            accepted >= least,
            "{}: only {accepted} bytes are accepted",
            case.name
        );
        // Half of the jobs end.
        deployment.held /= 2;
        deployment.accepted /= 2;
        deployment.advance(2 * GREETING_MS);
        assert!(
            deployment.offer(0, case.bytes),
            "{}: nothing after the ends",
            case.name
        );
    }
}

/// Guards against a budget that the next owner, a smaller machine, cannot keep.
#[test]
fn the_smallest_gate_sets_the_budget() {
    let mut deployment = Deployment::new(&[64 * MB, 20 * MB, 32 * MB]);
    for at in 0..3 {
        deployment.greet(at);
    }
    assert_eq!(deployment.budget.bytes(), 20 * MB);
    while deployment.offer(0, 10_000) {
        deployment.advance(1);
    }
    assert!(deployment.accepted <= 20 * MB);
    assert_eq!(
        deployment.gates[1].reserve(21 * MB),
        Reservation::TooLarge(20 * MB)
    );
    // The smallest one is gone for good.
    deployment.gates.remove(1);
    deployment.now += 11_000;
    deployment.budget = JobBudget::default();
    deployment.advance(2 * GREETING_MS);
    assert_eq!(deployment.budget.bytes(), 32 * MB);
}

/// Guards against gates whose part shrinks with each question that gets no answer.
#[test]
fn questions_without_an_answer_take_nothing_from_a_gate() {
    let mut room = RoomShare::new(32 * MB);
    room.install(5 * MB);
    for _ in 0..20 {
        room.request(0);
        room.fail_request();
    }
    assert_eq!(room.reserve(5 * MB), Reservation::Granted);
    // Little was allotted, and no owner can be asked.
    let mut room = RoomShare::new(32 * MB);
    room.install(10_000);
    assert_eq!(room.reserve(20_000), Reservation::Ask(20_000));
    room.request(20_000);
    room.fail_request();
    assert!(room.reserve_unasked(20_000));
}

/// Guards against gates that refuse all jobs while no owner answers, and against those that accept
/// without a bound meanwhile.
#[test]
fn without_an_owner_a_gate_accepts_a_bounded_part() {
    let mut room = RoomShare::new(32 * MB);
    let mut accepted = 0;
    while room.reserve(2_500) == Reservation::Granted {
        accepted += 2_500;
        // No owner takes it: it stays in the store.
        room.leave(2_500);
    }
    assert!((MB..=2 * MB).contains(&accepted), "{accepted} bytes");
    // Nor can an owner be asked.
    room.request(accepted + 2_500);
    room.fail_request();
    assert!(!room.reserve_unasked(2_500));
    // The next owner has found the jobs.
    room.install(MB);
    assert_eq!(room.reserve(2_500), Reservation::Granted);
    // A job that is not stored gives its part back.
    let Reservation::Ask(wanted) = room.reserve(MB) else {
        panic!("there is not that much left");
    };
    assert_eq!(wanted, MB + 2_500);
    room.give_back(2_500);
    assert_eq!(room.reserve(MB), Reservation::Granted);
}
