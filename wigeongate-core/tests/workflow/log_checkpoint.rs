//! The log with checkpoints: random histories, and what stays of each record.

use std::sync::Arc;

use wigeongate_core::ids::HostId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, CheckpointSettings, CheckpointWrite, HostReport, JobFate, LogCheckpoint, OwnerView,
    PollFailure, Record, Repeat, WorkflowId, WorkflowScheduler, WorkflowSettings, WorkflowStatus,
};

use crate::world::{Faults, Rng, StoredLog, World, flow, host, rules, step};
use crate::{CORE, random_steps, task};

/// Histories of each kind.
const HISTORIES: u64 = 60;

const JOBS: u64 = 120;

/// Checkpoints of a short log, in small parts that end within batches.
pub fn eager() -> CheckpointSettings {
    CheckpointSettings {
        interval: Millis(100),
        min_weight: 30,
        idle: Millis(10_000),
        part_bytes: 400,
        pause: Millis(10),
        turn_jobs: 16,
        removed_keys: 6,
        removal_pause: Millis(30),
    }
}

/// Histories with the same faults.
struct Kind {
    name: &'static str,
    faults: Faults,
    /// The share of writes without effect, and of those without an answer, in percent.
    refused: u64,
    /// The chance of an ended job to leave the store in each step, in percent.
    archived: u64,
    /// How often each job runs; zero for once.
    repeats: u32,
}

impl Kind {
    /// Returns the schedule of a job that is submitted now.
    fn repeat(&self, world: &World) -> Option<Repeat> {
        (self.repeats > 0).then_some(Repeat {
            first: world.now,
            interval: Millis(40),
            count: self.repeats,
        })
    }
}

fn kinds() -> [Kind; 7] {
    let late = Faults {
        late: 20,
        failing: 15,
        ..Faults::default()
    };
    let crashes = Faults { crash: 60, ..late };
    [
        Kind {
            name: "no faults",
            faults: Faults::default(),
            refused: 0,
            archived: 0,
            repeats: 0,
        },
        Kind {
            name: "late orders, transactions without effect or answer, jobs that leave the store",
            faults: late,
            refused: 50,
            archived: 2,
            repeats: 0,
        },
        Kind {
            name: "crashes",
            faults: crashes,
            refused: 10,
            archived: 0,
            repeats: 0,
        },
        Kind {
            name: "changes of owner",
            faults: Faults {
                crash: 30,
                takeover: 30,
                ..late
            },
            refused: 10,
            archived: 0,
            repeats: 0,
        },
        Kind {
            name: "changes of owner, jobs that leave the store",
            faults: Faults {
                crash: 30,
                takeover: 100,
                ..late
            },
            refused: 30,
            archived: 5,
            repeats: 0,
        },
        Kind {
            name: "jobs that run many times, crashes",
            faults: crashes,
            refused: 10,
            archived: 0,
            repeats: 4,
        },
        Kind {
            name: "jobs that run many times, changes of owner, jobs that leave the store",
            faults: Faults {
                crash: 30,
                takeover: 100,
                ..late
            },
            refused: 30,
            archived: 5,
            repeats: 4,
        },
    ]
}

/// Guards against records that a checkpoint leaves out although the next owner decides by them: ends,
/// losses of hosts, crashes, and the order of the starts on a host.
#[test]
fn an_owner_that_reads_the_checkpoint_does_what_one_that_reads_the_whole_log_does() {
    let mut wrong = Vec::new();
    let (mut compared, mut logged, mut left) = (0, 0, 0);
    for kind in kinds() {
        for seed in 0..HISTORIES {
            let hosts = (0..8).map(|at| host(at, 8 * CORE)).collect();
            let mut world = World::new(seed, hosts, rules(3, Resources::UNBOUNDED), kind.faults);
            world.lease_ms = 600;
            world.archived_percent = kind.archived;
            world.enable_checkpoints(eager(), kind.refused);
            for id in 1..=JOBS {
                let steps = random_steps(&mut world);
                let repeat = kind.repeat(&world);
                world.submit(flow(id, steps, repeat));
                for _ in 0..world.rng.below(30) {
                    world.run_for(10);
                }
                if world.rng.chance(5) {
                    world.cancel(id);
                }
                if world.rng.chance(10) {
                    let [short, full] = world.next_owners(seed + id);
                    compared += 1;
                    let mut pairs = short.iter().zip(&full);
                    if let Some((left, right)) = pairs.find(|(left, right)| left != right) {
                        let now = world.now;
                        let name = kind.name;
                        wrong.push(format!("{name}, seed {seed}, {now}:\n  {left}\n  {right}"));
                    }
                }
            }
            logged += world.logged_records();
            left += world.stored_log().map_or(0, StoredLog::records);
        }
    }
    assert!(compared > 1_900, "{compared} compared");
    assert!(left * 2 < logged, "{left} of {logged} records are left");
    let count = wrong.len();
    wrong.truncate(10);
    assert!(
        wrong.is_empty(),
        "{count} of {compared}\n{}",
        wrong.join("\n")
    );
}

fn start(job: u64, index: u32, host: &str) -> Record {
    Record::StartedOn(task(job, 0, index), 1, HostId::from(host), 7)
}

fn done(job: u64, index: u32) -> Record {
    Record::Done(task(job, 0, index))
}

fn end(job: u64) -> Record {
    Record::Ended(WorkflowId(job), WorkflowStatus::Completed)
}

/// Jobs up to 9 are open, those up to 99 have ended, the others have left the store; hosts whose name
/// begins with `gone` are not known any more.
#[derive(Debug, Clone, Copy)]
struct Owner {
    runs_known: bool,
}

impl OwnerView for Owner {
    fn fate(&self, job: WorkflowId) -> JobFate {
        match job.0 {
            0..10 => JobFate::Open,
            10..100 => JobFate::Ended,
            _ => JobFate::Removed,
        }
    }

    fn has_host(&self, host: &HostId) -> bool {
        !host.as_str().starts_with("gone")
    }

    fn runs_known(&self) -> bool {
        self.runs_known
    }
}

const OWNER: Owner = Owner { runs_known: true };

/// Writes a checkpoint of a log and returns what a new owner reads.
fn shortened(log: Vec<Vec<Record>>, owner: Owner, settings: &CheckpointSettings) -> StoredLog {
    let mut stored = StoredLog::new(CheckpointSettings {
        min_weight: 1,
        ..settings.clone()
    });
    for batch in log {
        stored.add_batch(batch);
    }
    let mut rng = Rng::new(1);
    for turn in 0..200 {
        stored.turn(&owner, Millis(turn * 10), &mut rng);
    }
    assert_eq!(stored.checkpoints, 1);
    stored
}

/// A log and the batches that a checkpoint keeps of it.
struct Case {
    name: &'static str,
    log: Vec<Vec<Record>>,
    kept: Vec<Vec<Record>>,
}

fn cases_of_ended_jobs() -> Vec<Case> {
    let lost = Record::Lost(task(10, 0, 0), 1);
    let released = Record::Released(task(10, 0, 1), 1);
    vec![
        Case {
            name: "of an ended job, its end and the newest start on each host",
            log: vec![
                vec![start(10, 0, "a"), start(10, 1, "b")],
                vec![done(10, 0), start(10, 2, "a")],
                vec![done(10, 1), done(10, 2), end(10)],
            ],
            kept: vec![
                vec![start(10, 1, "b")],
                vec![start(10, 2, "a")],
                vec![end(10)],
            ],
        },
        Case {
            name: "a run that was lost, and its start",
            log: vec![
                vec![start(10, 0, "a"), done(10, 2), done(10, 3)],
                vec![lost.clone(), start(11, 0, "a"), done(10, 4), done(10, 5)],
                vec![done(11, 0), done(11, 1), done(10, 6), end(10), end(11)],
            ],
            kept: vec![
                vec![start(10, 0, "a")],
                vec![lost, start(11, 0, "a")],
                vec![end(10), end(11)],
            ],
        },
        Case {
            name: "the start before one that was taken back",
            log: vec![
                vec![start(10, 0, "a"), done(10, 0), done(10, 2)],
                vec![start(10, 1, "a"), released, done(10, 3), end(10)],
            ],
            kept: vec![vec![start(10, 0, "a")], vec![end(10)]],
        },
        Case {
            name: "of a job that has left the store, the newest start on a host that exists",
            log: vec![
                vec![start(100, 0, "a"), start(100, 1, "gone-1")],
                vec![done(100, 0), start(101, 0, "a"), end(100)],
                vec![Record::Lost(task(100, 0, 1), 1), end(101)],
            ],
            kept: vec![vec![start(101, 0, "a")]],
        },
        Case {
            name: "a start on an unknown host as long as its run may exist",
            log: vec![vec![start(1, 0, "gone-1"), start(100, 0, "gone-2")]],
            kept: vec![vec![start(1, 0, "gone-1")]],
        },
    ]
}

fn cases_of_open_jobs() -> Vec<Case> {
    let failed = |run| Record::Failed(task(1, 0, 0), run);
    let again = |run, host: &str| Record::StartedOn(task(1, 0, 0), run, HostId::from(host), 7);
    vec![
        Case {
            name: "every record but the starts of runs that have ended",
            log: vec![
                vec![start(1, 0, "a"), start(1, 1, "a"), start(1, 2, "b")],
                vec![Record::Begun(WorkflowId(1)), done(1, 0), start(2, 0, "a")],
                vec![done(1, 2)],
            ],
            kept: vec![
                vec![start(1, 0, "a"), start(1, 1, "a"), start(1, 2, "b")],
                vec![Record::Begun(WorkflowId(1)), done(1, 0), start(2, 0, "a")],
                vec![done(1, 2)],
            ],
        },
        Case {
            name: "no start of a run that has failed, if a later one on the host has ended as well",
            log: vec![
                vec![again(1, "a")],
                vec![failed(1), again(2, "a")],
                vec![failed(2), again(3, "b")],
            ],
            kept: vec![
                vec![failed(1), again(2, "a")],
                vec![failed(2), again(3, "b")],
            ],
        },
        Case {
            name: "each start of a task that was done while several of its runs were open",
            log: vec![
                vec![again(1, "a")],
                vec![again(2, "a")],
                vec![done(1, 0), start(100, 0, "a")],
            ],
            kept: vec![
                vec![again(1, "a")],
                vec![again(2, "a")],
                vec![done(1, 0), start(100, 0, "a")],
            ],
        },
        Case {
            name: "the starts of a gang, until its job has ended",
            log: vec![
                vec![start(1, 0, "a"), start(1, 1, "a")],
                vec![Record::GangDone(task(1, 0, 0).step), start(2, 0, "a")],
            ],
            kept: vec![
                vec![start(1, 0, "a"), start(1, 1, "a")],
                vec![Record::GangDone(task(1, 0, 0).step), start(2, 0, "a")],
            ],
        },
    ]
}

/// Guards against records that are left out although the replay of a next owner uses them, and against
/// batches that are merged, whose starts would lose their order.
#[test]
fn a_checkpoint_keeps_what_a_new_owner_needs() {
    let cases = cases_of_ended_jobs().into_iter();
    for case in cases.chain(cases_of_open_jobs()) {
        // Parts of any size hold the same batches.
        for part_bytes in [1, 100, 10_000] {
            let settings = CheckpointSettings {
                part_bytes,
                ..eager()
            };
            let stored = shortened(case.log.clone(), OWNER, &settings);
            assert_eq!(stored.read(), case.kept, "{}, {part_bytes}", case.name);
        }
    }
}

/// Guards against starts that are left out although a run of an earlier owner may still be lost with
/// its host, and against a log that grows while owners are replaced before they know all runs.
#[test]
fn a_new_owner_keeps_the_starts_of_ended_jobs_until_it_knows_all_runs() {
    let log = vec![
        vec![start(10, 0, "a"), start(100, 0, "a")],
        vec![start(10, 1, "a"), done(10, 2), end(10)],
        vec![start(100, 1, "gone-1"), done(100, 0), end(100)],
    ];
    let early = Owner { runs_known: false };
    let stored = shortened(log, early, &eager());
    let kept = [
        vec![start(10, 0, "a"), start(100, 0, "a")],
        vec![start(10, 1, "a"), end(10)],
        vec![start(100, 1, "gone-1")],
    ];
    assert_eq!(stored.read(), kept);
}

/// Guards against checkpoints that cost more than the log that they replace, and against keys that stay
/// behind.
#[test]
fn what_is_written_follows_what_is_logged() {
    let settings = CheckpointSettings {
        min_weight: 500,
        part_bytes: 2_000,
        turn_jobs: 256,
        ..eager()
    };
    let mut stored = StoredLog::new(settings);
    let mut rng = Rng::new(1);
    // By the weight of records and batches.
    let (mut logged, mut most_keys) = (0, 0);
    // Most jobs are open for ever, as on a service that falls behind; the others leave at once.
    for at in 0..4_000 {
        let job = if at % 4 == 0 { 100 + at } else { at % 10 };
        let batch = vec![
            Record::Failed(task(job, 0, 0), u32::try_from(at).unwrap_or(0)),
            start(job, u32::try_from(at).unwrap_or(0), "a"),
            end(job),
        ];
        logged += batch.len() + 8;
        stored.add_batch(batch);
        stored.turn(&OWNER, Millis(at * 25), &mut rng);
        most_keys = most_keys.max(stored.keys().count());
    }
    assert!(stored.checkpoints > 5, "{} written", stored.checkpoints);
    let written = stored.written;
    assert!(written < 2 * logged, "{written} for {logged}");
    for turn in 0..2_000 {
        stored.turn(&OWNER, Millis(200_000 + turn * 25), &mut rng);
    }
    let (keys, read) = (stored.keys().count(), stored.read_keys());
    assert_eq!(keys, read, "what is not read is removed");
    assert!(most_keys < 3_000, "{most_keys} keys");
}

/// Guards against records of a quiet day that stay stored although nobody needs them.
#[test]
fn a_short_log_is_replaced_once_most_of_it_is_needless() {
    let settings = CheckpointSettings {
        idle: Millis(5_000),
        ..CheckpointSettings::default()
    };
    let mut stored = StoredLog::new(settings);
    let mut rng = Rng::new(1);
    stored.add_batch(vec![start(100, 0, "a"), done(100, 0), end(100)]);
    stored.add_batch(vec![start(101, 0, "a"), done(101, 0), end(101)]);
    let cases = [(0, 0, 6), (4_900, 0, 6), (5_000, 1, 1), (60_000, 1, 1)];
    for (at, checkpoints, records) in cases {
        for step in 0..5 {
            stored.turn(&OWNER, Millis(at + step * 100), &mut rng);
            if at == 4_900 {
                break;
            }
        }
        assert_eq!(stored.checkpoints, checkpoints, "at {at}");
        assert_eq!(stored.records(), records, "at {at}");
    }
}

/// Guards against parts that hold different states: a job that leaves the store while the parts are
/// written would keep a start whose loss is left out.
#[test]
fn what_a_checkpoint_says_does_not_change_between_its_parts() {
    let settings = CheckpointSettings {
        min_weight: 1,
        part_bytes: 1,
        ..eager()
    };
    let mut checkpoint = LogCheckpoint::new(settings);
    let lost = Record::Lost(task(1, 0, 0), 1);
    checkpoint.add_batch("1", vec![start(1, 0, "a"), start(1, 1, "b"), lost.clone()]);
    let mut written = Vec::new();
    for turn in 0..10 {
        let now = Millis(turn * 100);
        // The job is open when the checkpoint begins.
        let Some(write) = checkpoint.next_write(&OWNER, now).cloned() else {
            continue;
        };
        checkpoint.forget_jobs(&[WorkflowId(1)]);
        checkpoint.add_batch(&format!("2{turn}"), vec![Record::Lost(task(1, 0, 1), 1)]);
        match write {
            CheckpointWrite::Part(1, _, part) => written.extend(part.batches.concat()),
            CheckpointWrite::Head(1, covered, parts) => {
                assert_eq!((covered.as_str(), parts), ("1", 3));
                break;
            }
            other => panic!("{other:?}"),
        }
        checkpoint.finish_write("part");
    }
    assert_eq!(written, [start(1, 0, "a"), start(1, 1, "b"), lost]);
}

/// Guards against parts that a slow link does not carry within the time of a transaction.
#[test]
fn a_part_has_a_bounded_number_of_bytes() {
    let settings = CheckpointSettings {
        min_weight: 1,
        turn_jobs: 10_000,
        ..CheckpointSettings::default()
    };
    let (mut checkpoint, part_bytes) = (LogCheckpoint::new(settings.clone()), settings.part_bytes);
    let record = |at| {
        let job = u64::MAX - at;
        match at % 3 {
            0 => Record::Done(task(job, 9, 9)),
            1 => Record::Failed(task(job, u16::MAX, u32::MAX), u32::MAX),
            _ => Record::StartedOn(
                task(job, u16::MAX, u32::MAX),
                u32::MAX,
                HostId::from("a-host-with-a-long-name-as-some-sites-give-them"),
                1_790_000_000_000,
            ),
        }
    };
    checkpoint.add_batch("1", (0..5_000).map(record).collect());
    let (mut parts, mut now) = (0, settings.interval);
    let owner = AllOpen;
    loop {
        now += Millis(1_000);
        let write = checkpoint.next_write(&owner, now).cloned();
        match write.expect("a write each second") {
            CheckpointWrite::Part(_, number, part) => {
                let bytes = postcard::to_stdvec(&part).map_or(0, |bytes| bytes.len());
                assert!(bytes <= part_bytes, "{bytes} bytes");
                assert_eq!(part.continues, number > 1, "part {number}");
                parts += 1;
            }
            CheckpointWrite::Head(..) => break,
        }
        checkpoint.finish_write("part");
    }
    assert!(parts < 12, "{parts} parts");
}

/// An owner to which each job is open.
struct AllOpen;

impl OwnerView for AllOpen {
    fn fate(&self, _: WorkflowId) -> JobFate {
        JobFate::Open
    }

    fn has_host(&self, _: &HostId) -> bool {
        true
    }

    fn runs_known(&self) -> bool {
        true
    }
}

/// Guards against a log that is cut although a later version of the product needs it.
#[test]
fn a_log_that_cannot_be_read_stays_as_it_is() {
    let mut checkpoint = LogCheckpoint::new(CheckpointSettings {
        min_weight: 1,
        ..eager()
    });
    checkpoint.add_batch("1", vec![start(100, 0, "a"), end(100)]);
    checkpoint.freeze();
    checkpoint.add_batch("2", vec![start(101, 0, "a"), end(101)]);
    for turn in 0..100 {
        let now = Millis(turn * 100);
        assert_eq!(checkpoint.next_write(&OWNER, now), None);
        assert_eq!(checkpoint.begin_removal(now), None);
    }
    assert_eq!(checkpoint.size(), (0, 0), "nothing is kept for it");
}

/// Guards against runs that are suspected of a crash because the job of a later one has left the store.
#[test]
fn a_start_of_a_job_that_has_left_the_store_shows_which_run_is_not_the_newest() {
    struct Case {
        name: &'static str,
        log: Vec<Vec<Record>>,
        is_suspect: bool,
    }
    let lost = Record::Lost(task(2, 0, 0), 1);
    let released = Record::Released(task(2, 0, 0), 1);
    let cases = [
        Case {
            name: "an older one",
            log: vec![vec![start(2, 0, "w-0")], vec![start(1, 0, "w-0")]],
            is_suspect: true,
        },
        Case {
            name: "a newer one",
            log: vec![vec![start(1, 0, "w-0")], vec![start(2, 0, "w-0")]],
            is_suspect: false,
        },
        Case {
            name: "a newer one that was lost",
            log: vec![vec![start(1, 0, "w-0")], vec![start(2, 0, "w-0"), lost]],
            is_suspect: true,
        },
        Case {
            name: "a newer one that was taken back",
            log: vec![vec![start(1, 0, "w-0")], vec![start(2, 0, "w-0"), released]],
            is_suspect: true,
        },
    ];
    for case in cases {
        let now = Millis(1_000);
        let mut owner = WorkflowScheduler::new(WorkflowSettings::default(), now);
        owner.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
        owner.restore(flow(1, vec![step(1, CORE)], None), now, Millis::ZERO);
        for batch in &case.log {
            owner.begin_batch();
            for record in batch {
                owner.replay(record, now);
            }
        }
        owner.finish_restore(now, &mut Vec::new());
        for at in 0..12 {
            owner.list_host(host(at, 8 * CORE), now);
        }
        let mut actions = Vec::new();
        let id = HostId::from("w-0");
        owner.poll_failed(&id, PollFailure::Refused, now, &mut actions);
        owner.poll_failed(&id, PollFailure::Replaced, Millis(4_000), &mut actions);
        for at in 1..=20 {
            owner.tick(Millis(4_000 + at * 100), 0, &mut actions);
        }
        let is_suspect = actions.iter().any(|action| match action {
            Action::Record(Record::CrashedOn(record, ..)) => record.crash.young,
            _ => false,
        });
        assert_eq!(is_suspect, case.is_suspect, "{}: {actions:?}", case.name);
    }
}

/// Guards against a start that a checkpoint drops before the loss of its run is written, so that the next
/// owner does not know which host was lost.
#[test]
fn the_start_of_a_lost_run_matters_until_the_loss_is_written() {
    let mut world = World::new(
        1,
        vec![host(0, 8 * CORE)],
        rules(3, Resources::UNBOUNDED),
        Faults::default(),
    );
    world.run_ms = 10_000;
    world.run_for(100);
    world.submit(flow(1, vec![step(1, CORE)], None));
    world.run_for(100);
    let id = host(0, 8 * CORE).id;
    let now = Millis(world.now);
    let owner = &mut world.scheduler;
    let mut actions = Vec::new();
    owner.cancel(WorkflowId(1), now, &mut actions);
    owner.records_written(owner.last_record(), now, &mut actions);
    let restarted = HostReport {
        boot_ms: 2,
        sent: now,
        lease: now + Millis(3_000),
        ..HostReport::default()
    };
    owner.apply_report(&id, &restarted, now, &mut actions);
    assert!(!owner.is_written(owner.last_record()));
    assert_eq!(owner.job_fate(WorkflowId(1)), JobFate::Open);
    owner.records_written(owner.last_record(), now, &mut actions);
    assert_eq!(owner.job_fate(WorkflowId(1)), JobFate::Ended);
}
