//! Tests that feed bytes to the decoders of calls between gates and of stored records: whatever
//! arrives, they do not panic, hold no more than a multiple of it, and what they accept means the
//! same when it is written again.

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wigeongate::entry::peers::{PeerAnswer, PeerCall};
use wigeongate::entry::records::{LogBatch, OwnerRecord, decode, decode_job, encode};
use wigeongate_core::ids::{GateId, HostId, QueueId, TeamId};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    QueueRules, Record, RoomRequest, StepId, StepSpec, StoredJob, TaskName, Workflow, WorkflowId,
    WorkflowSpec,
};
use wigeongate_platform::store::Item;

const STEP: StepId = StepId {
    job: WorkflowId(0x1234_5678_9abc),
    occurrence: 2,
    step: 1,
};

fn workflow() -> Workflow {
    let step = StepSpec {
        count: 3,
        estimate: Millis(100),
        after: vec![0, 1],
        requires: Some("ssd".to_owned()),
        ..StepSpec::default()
    };
    Workflow {
        id: STEP.job,
        queue: QueueId::from("q"),
        team: Some(TeamId::from("branch")),
        accepted: 1_780_000_000_000,
        spec: Arc::new(WorkflowSpec {
            command: "run".to_owned(),
            steps: vec![step.clone(), step],
            repeat: None,
        }),
        rules: Arc::new(QueueRules::default()),
    }
}

fn samples() -> Vec<Vec<u8>> {
    let task = TaskName {
        step: STEP,
        index: 9,
    };
    let host = HostId::from("e-1");
    let job = StoredJob {
        flow: workflow(),
        revision: 7,
    };
    let room = RoomRequest {
        budget: 1 << 25,
        kept: 4_096,
        wanted: 9_000,
    };
    let records = vec![
        Record::StartedOn(task, 1, host.clone(), 1_780_000_000_000),
        Record::Done(task),
        Record::GangFailed(STEP, 2),
        Record::Released(task, 1),
        Record::Begun(STEP.job),
    ];
    vec![
        encode(&PeerCall::Hello(
            GateId::from("gate-1"),
            "127.0.0.1:80".to_owned(),
            room,
        )),
        encode(&PeerCall::Reserve(GateId::from("gate-1"), room)),
        encode(&PeerAnswer::Room(1 << 20)),
        encode(&PeerCall::Submit(
            Box::new(job),
            Some(GateId::from("gate-1")),
        )),
        encode(&PeerCall::Advise(STEP, vec![host.clone(); 3], 40)),
        encode(&PeerAnswer::Advice(vec![(host, "ticket".to_owned())], 900)),
        encode(&workflow()),
        encode(&LogBatch { records }),
        encode(&OwnerRecord {
            epoch: 4,
            gate: GateId::from("gate-1"),
            address: "127.0.0.1:80".to_owned(),
            process: 99,
            lost: 3,
        }),
    ]
}

/// A sample with replaced bytes, cut off at a part in thousandths, or any bytes.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let edit = (
        any::<usize>(),
        prop_oneof![any::<u8>(), Just(0xff), Just(0)],
    );
    let edits = prop::collection::vec(edit, 0..4);
    let edited = (prop::sample::select(samples()), edits, 500..1_200_usize).prop_map(
        |(mut bytes, edits, kept)| {
            for (at, byte) in edits {
                let at = at % bytes.len();
                bytes[at] = byte;
            }
            bytes.truncate(bytes.len() * kept / 1_000);
            bytes
        },
    );
    prop_oneof![4 => edited, 1 => prop::collection::vec(any::<u8>(), 0..64)]
}

/// Decodes a value; if it is accepted, checks that it is written and read again as the same value,
/// and that its text is bounded by the input: each element takes at least a byte.
fn check<T: Serialize + DeserializeOwned + std::fmt::Debug>(bytes: &[u8]) {
    let Ok(value) = decode::<T>("bytes", bytes) else {
        return;
    };
    let written = encode(&value);
    let again: T = decode("written", &written).expect("it was accepted");
    // Debug output also compares numbers that are not equal to themselves.
    assert_eq!(format!("{again:?}"), format!("{value:?}"));
    // Numbers may be written in more bytes than are needed, but never in fewer.
    assert!(
        written.len() <= bytes.len(),
        "{} of {}",
        written.len(),
        bytes.len()
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn messages_and_records_from_any_bytes(bytes in bytes()) {
        check::<PeerCall>(&bytes);
        check::<PeerAnswer>(&bytes);
        check::<LogBatch>(&bytes);
        check::<OwnerRecord>(&bytes);
        check::<Workflow>(&bytes);
        let item = Item { key: "job".to_owned(), value: bytes, revision: 7, lease: 0 };
        if let Ok(job) = decode_job(&item) {
            let again = Item { value: encode(&job.flow), ..item };
            let again = decode_job(&again).expect("it was accepted");
            assert_eq!(format!("{again:?}"), format!("{job:?}"));
        }
    }
}
