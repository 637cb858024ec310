//! A small fleet at the core's border.

use std::sync::Arc;

use uuid::Uuid;
use wigeongate_core::ids::{HostId, JobId, PoolId, RackId, RegionId, TeamId};
use wigeongate_core::job::{Job, JobSpec, Kind};
use wigeongate_core::policy::{Policy, Queue, Team, Worker};
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{Phase, Report, Start, TaskReport};

/// The size of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// How many workers there are.
    pub workers: u32,
    /// How many availability zones they stand in.
    pub zones: u32,
    /// How many workers share a rack.
    pub per_rack: u32,
    /// What a worker without accelerators carries.
    pub capacity: Resources,
    /// One worker in so many has accelerators; 0 for none.
    pub accelerated: u32,
    /// How many teams there are.
    pub teams: u32,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            workers: 1_200,
            zones: 5,
            per_rack: 8,
            capacity: Resources {
                cpu: 64_000,
                memory: 128 * 1_024,
                accelerators: 0,
            },
            accelerated: 8,
            teams: 34,
        }
    }
}

/// Accelerators of a worker that has any.
const ACCELERATORS: u64 = 8;

/// Returns the name of the worker at a place.
pub fn host(index: u32) -> HostId {
    HostId::from(format!("worker-{index:05}"))
}

/// Returns the name of the team at a place.
pub fn team(index: u32) -> TeamId {
    TeamId::from(format!("team-{index:02}"))
}

/// Returns a policy for a fleet, every team with the same share and no limit.
pub fn policy(settings: &FleetSettings) -> Policy {
    let worker = |index: u32| {
        let accelerated = settings.accelerated > 0 && index.is_multiple_of(settings.accelerated);
        let accelerators = if accelerated { ACCELERATORS } else { 0 };
        let rack = index / settings.per_rack;
        Worker {
            host: host(index),
            pool: PoolId::from("pool"),
            rack: RackId::from(format!("rack-{rack}")),
            zone: format!("zone-{}", rack % settings.zones).into(),
            region: RegionId::from("region"),
            capacity: Resources {
                accelerators,
                ..settings.capacity
            },
        }
    };
    let entry = |index| (host(index), Arc::new(worker(index)));
    let a_team = |index| {
        let team_policy = Team {
            share: 1,
            limit: Resources::UNBOUNDED,
            slots: u32::MAX,
        };
        (team(index), team_policy)
    };
    let queues = [Kind::Service, Kind::Batch, Kind::Gang].map(|kind| {
        let queue = Queue {
            kind,
            team: None,
            bound: u32::MAX,
            attempts: 3,
        };
        (kind.to_string().into(), queue)
    });
    Policy {
        workers: (0..settings.workers).map(entry).collect(),
        teams: (0..settings.teams).map(a_team).collect(),
        queues: queues.into_iter().collect(),
        ..Policy::default()
    }
}

/// Returns the identifier of the job at a place.
pub fn job_id(index: u64) -> JobId {
    JobId(Uuid::from_u128(u128::from(index) + 1))
}

/// Returns a job of one kind.
pub fn job(index: u64, team: TeamId, kind: Kind, spec: JobSpec) -> Job {
    Job {
        id: job_id(index),
        team,
        kind,
        spec: JobSpec {
            queue: kind.to_string().into(),
            ..spec
        },
        accepted: 0,
    }
}

/// Returns a full report of a worker that runs nothing.
pub fn empty_report(host: HostId) -> Report {
    Report {
        host,
        full: true,
        last_order: u64::MAX,
        ..Report::default()
    }
}

/// Returns a report of one task.
pub fn task_report(start: &Start, phase: Phase) -> Report {
    let task = TaskReport {
        task: start.task,
        attempt: start.attempt,
        size: start.size,
        usage: start.size,
        phase,
    };
    Report {
        host: start.host.clone(),
        tasks: vec![task],
        ..Report::default()
    }
}
