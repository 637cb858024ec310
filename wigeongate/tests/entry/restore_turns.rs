//! Tests that the other work of a gate goes on while the gate restores the state of earlier owners.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;

use wigeongate::entry::records::{batch_key, encode, encode_batch, job_key};
use wigeongate::entry::restore::Restore;
use wigeongate::entry::restore_progress::{RestoreProgress, RestoreStep};
use wigeongate::entry::shared::Shared;
use wigeongate::entry::turns::MAX_ITEMS;
use wigeongate_config::entry::EntrySettings;
use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Record, StepId, StepSpec, TaskName, Workflow, WorkflowId, WorkflowScheduler, WorkflowSettings,
    WorkflowSpec,
};

use crate::platform::{Platform, StoreFault};

const JOBS: usize = 1_500;

const BATCHES: usize = 300;

/// Records of each batch.
const RECORDS: usize = 10;

/// A step without calls to the store, and the number of items that it handles.
struct Case {
    step: RestoreStep,
    items: usize,
}

fn task(job: usize) -> TaskName {
    let job = WorkflowId(u64::try_from(job).expect("a number of a job"));
    TaskName {
        step: StepId {
            job,
            ..StepId::default()
        },
        index: 0,
    }
}

/// Stores jobs and the starts of their tasks, as gates do.
fn store_state(platform: &Platform) {
    let spec = Arc::new(WorkflowSpec {
        command: "100".to_owned(),
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        repeat: None,
    });
    for at in 0..JOBS {
        let flow = Workflow {
            id: task(at).step.job,
            queue: "q".into(),
            team: None,
            accepted: 0,
            spec: Arc::clone(&spec),
            rules: Arc::default(),
        };
        platform.store.put_bytes(&job_key(flow.id), encode(&flow));
    }
    for batch in 0..BATCHES {
        let start = |at| Record::StartedOn(task((batch * RECORDS + at) % JOBS), 1, "w-0".into(), 7);
        let records: Vec<Record> = (0..RECORDS).map(start).collect();
        let key = batch_key(1, u64::try_from(batch).expect("a number of a batch"));
        platform.store.put_bytes(&key, encode_batch(&records));
    }
}

/// Guards against takeovers that lose their lease by their own work: nothing was renewed, and no caller
/// answered, while the jobs were decoded and the log was replayed. Counts how often whoever is polled
/// beside the restore, as the renewal of the lease is, has its turn in each step.
#[tokio::test(flavor = "multi_thread")]
async fn the_lease_is_polled_after_a_bounded_number_of_restored_items() {
    let cases = [
        Case {
            step: RestoreStep::Decode,
            items: JOBS + BATCHES * RECORDS,
        },
        Case {
            step: RestoreStep::RestoreJobs,
            items: JOBS,
        },
        Case {
            step: RestoreStep::Replay,
            items: BATCHES * RECORDS,
        },
        Case {
            step: RestoreStep::Finish,
            items: 2 * JOBS,
        },
    ];
    let platform = Platform::start(0).await;
    store_state(&platform);
    let shared = Arc::new(Shared::new(EntrySettings {
        store: platform.address,
        ..EntrySettings::default()
    }));
    let progress = RestoreProgress::default();
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), Millis::ZERO);
    let restore = Restore {
        shared: &shared,
        progress: &progress,
        scheduler: &mut scheduler,
    };
    let turns: RefCell<HashMap<String, usize>> = RefCell::default();
    let beside = poll_fn(|_| {
        let step = progress.current().to_string();
        *turns.borrow_mut().entry(step).or_default() += 1;
        Poll::<()>::Pending
    });
    let restored = tokio::select! {
        biased;
        restored = restore.run() => restored.expect("the store answers"),
        () = beside => unreachable!("it never ends"),
    };
    assert_eq!((restored.jobs, restored.batches.len()), (JOBS, BATCHES));
    assert!(scheduler.has_host(&HostId::from("w-0")));
    for case in cases {
        let name = case.step.to_string();
        let turns = turns.borrow().get(&name).copied().unwrap_or_default();
        // A batch may end above the bound, and the last items do not reach it.
        let wanted = case.items / (MAX_ITEMS + RECORDS) - 1;
        assert!(turns >= wanted, "{name}: {turns} turns, {wanted} wanted");
    }
}

/// Guards against takeovers that are given up for one read that the store refuses: the more pages a restore
/// reads, the less likely is one without a refused call, and every gate fares the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_page_is_read_again_within_the_same_takeover() {
    let platform = Platform::start(0).await;
    store_state(&platform);
    platform.store.set_fault(StoreFault::RefusesLogOnce);
    let shared = Arc::new(Shared::new(EntrySettings {
        store: platform.address,
        ..EntrySettings::default()
    }));
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), Millis::ZERO);
    let restore = Restore {
        shared: &shared,
        progress: &RestoreProgress::default(),
        scheduler: &mut scheduler,
    };
    let restored = restore.run().await.expect("the second read is answered");
    assert_eq!((restored.jobs, restored.batches.len()), (JOBS, BATCHES));
}
