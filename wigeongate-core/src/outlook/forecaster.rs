//! The owner's side: forecasts waits from the work that waits, and from what is observed of it.

use super::decayed::DecayedSum;
use super::{LaneOutlook, OfferedLoad, Outlook, QueueOutlook, TeamOutlook, fraction, whole};
use crate::collections::HashMap;
use crate::ids::{GateId, QueueId, TeamId};
use crate::resources::Resources;
use crate::time::Millis;
use crate::workflow::{
    HORIZONS_MS, Lane, QueueLoad, Rules, ServiceLoad, StepSpec, WHOLE, WorkOrigin, Workflow,
    job_work, step_work,
};

/// The time constant of what started lately, in milliseconds: a fleet that loses hosts, or whose
/// estimates change, shows in the forecast within seconds.
const STARTS_MS: f64 = 3_000.0;

/// The time constants of arrivals, in milliseconds. The lower of the two rates counts: bursts last
/// 4 to 6 s, and a burst is not expected to go on.
const ARRIVALS_MS: [f64; 2] = [2_000.0, 15_000.0];

/// The time constant of what callers offer, in milliseconds.
const OFFERED_MS: f64 = 2_000.0;

/// How far a team's jobs may exceed its weight before it counts as over its share: random arrivals at the
/// weight of a small team vary by about this much within the time constant.
const SHARE_TOLERANCE: f64 = 1.5;

/// The part of the capacity that is always expected to be left by arrivals that rank before a job. With
/// 0.25, jobs were refused at usual load that would have kept most of their time.
const LEAST_CAPACITY: f64 = 0.4;

/// The longest forecast as a multiple of the longest wait that was observed. A backlog by false
/// estimates is not enough for a refusal: steps must have waited for part of the time.
const EVIDENCE_FACTOR: u64 = 8;

/// How long a load is used, in milliseconds. Without newer ones no work is placed either, and the
/// forecast would be wrong.
const LOAD_VALID_MS: u64 = 1_000;

/// How long the gates' demand is collected before the first outlook, in milliseconds, so that every
/// gate has asked and the first to ask does not get the portions of all.
const WARM_UP_MS: u64 = 1_100;

/// How long a gate counts after its last call, in milliseconds: outlooks are valid for as long.
const GATE_VALID_MS: u64 = super::OUTLOOK_VALID_MS;

/// How long a queue or a team is remembered without work, in milliseconds.
const IDLE_MS: u64 = 60_000;

/// What is observed of one queue.
#[derive(Debug)]
struct QueueHistory {
    /// Work within the teams' shares that arrived.
    arrivals: [DecayedSum; 2],
    /// Number of task starts, and the sum of their waits in milliseconds.
    starts: DecayedSum,
    waits: DecayedSum,
    touched: Millis,
}

/// What one gate was offered.
#[derive(Debug)]
struct GateDemand {
    seen: Millis,
    offered: DecayedSum,
}

/// Forecasts how long new jobs wait, and divides the capacity among the gates.
#[derive(Debug, Default)]
pub struct Forecaster {
    loads: Vec<ServiceLoad>,
    /// When `loads` was taken; `None` before the first.
    taken: Option<Millis>,
    /// When the first gate asked.
    first_call: Option<Millis>,
    /// Work that started on each service.
    started: HashMap<String, DecayedSum>,
    queues: HashMap<QueueId, QueueHistory>,
    teams: HashMap<TeamId, DecayedSum>,
    gates: HashMap<GateId, GateDemand>,
}

impl Forecaster {
    /// Returns when the newest load was taken.
    pub const fn taken(&self) -> Option<Millis> {
        self.taken
    }

    /// Replaces the load, which a placement pass has just left.
    pub fn update(&mut self, loads: Vec<ServiceLoad>, now: Millis) {
        self.loads = loads;
        self.taken = Some(now);
        self.queues
            .retain(|_, history| now.since(history.touched).0 < IDLE_MS);
        self.teams
            .retain(|_, offered| offered.value(now) > f64::EPSILON);
    }

    /// Records a job that arrived.
    pub fn record_arrival(&mut self, origin: &WorkOrigin, flow: &Workflow, now: Millis) {
        let Some(total) = self.total(&origin.service) else {
            return;
        };
        if origin.over_share {
            return;
        }
        let work = fraction(job_work(&flow.spec, &total));
        for arrivals in &mut self.history(&origin.queue, now).arrivals {
            arrivals.add(work, now);
        }
    }

    /// Records that a task starts which has waited for a host.
    pub fn record_start(
        &mut self,
        origin: &WorkOrigin,
        spec: &StepSpec,
        waited: Millis,
        now: Millis,
    ) {
        let Some(total) = self.total(&origin.service) else {
            return;
        };
        let work = fraction(step_work(spec, 1, &total));
        self.started
            .entry(origin.service.clone())
            .or_insert(DecayedSum::new(STARTS_MS))
            .add(work, now);
        let history = self.history(&origin.queue, now);
        history.starts.add(1.0, now);
        history.waits.add(fraction(waited.0), now);
    }

    /// Answers a gate's call with its outlook; `None` while too little is known.
    pub fn outlook(
        &mut self,
        gate: &GateId,
        offered: &OfferedLoad,
        rules: &Rules,
        now: Millis,
    ) -> Option<Outlook> {
        self.record_offered(gate.clone(), offered, now);
        let warm_up = now.since(*self.first_call.get_or_insert(now)).0;
        let age = now.since(self.taken?);
        if warm_up < WARM_UP_MS || age.0 > LOAD_VALID_MS {
            return None;
        }
        let portion = self.portion(gate, now);
        let queues = self.loads.iter().flat_map(|load| {
            let queues = load.queues.iter();
            queues.map(|queue| self.forecast(load, queue, portion, now))
        });
        Some(Outlook {
            age,
            portion: portion_of(portion, 1.0),
            queues: queues.collect(),
            services: self
                .loads
                .iter()
                .map(|load| (load.service.clone(), load.total))
                .collect(),
            teams: self.teams_over_share(rules, now),
        })
    }

    /// Returns the forecast wait of a new job of each queue that is in time or late, for the metrics.
    pub fn expected_waits(&self, now: Millis) -> Vec<(QueueId, Millis)> {
        let loads = self.loads.iter();
        let waits = loads.flat_map(|load| {
            let queues = load.queues.iter();
            queues.map(|queue| {
                let outlook = self.forecast(load, queue, 1.0, now);
                let wait = outlook.in_time.waits.last().copied();
                (queue.queue.clone(), wait.unwrap_or_default())
            })
        });
        waits.collect()
    }

    fn total(&self, service: &str) -> Option<Resources> {
        let load = self.loads.iter().find(|load| load.service == service)?;
        Some(load.total)
    }

    fn history(&mut self, queue: &QueueId, now: Millis) -> &mut QueueHistory {
        let history = self
            .queues
            .entry(queue.clone())
            .or_insert_with(|| QueueHistory {
                arrivals: ARRIVALS_MS.map(DecayedSum::new),
                starts: DecayedSum::new(STARTS_MS),
                waits: DecayedSum::new(STARTS_MS),
                touched: now,
            });
        history.touched = now;
        history
    }

    fn record_offered(&mut self, gate: GateId, offered: &OfferedLoad, now: Millis) {
        let demand = self.gates.entry(gate).or_insert_with(|| GateDemand {
            seen: now,
            offered: DecayedSum::new(OFFERED_MS),
        });
        demand.seen = now;
        demand.offered.add(fraction(offered.core_ms), now);
        for (team, jobs) in &offered.jobs {
            self.teams
                .entry(team.clone())
                .or_insert(DecayedSum::new(OFFERED_MS))
                .add(f64::from(*jobs), now);
        }
        self.gates
            .retain(|_, demand| now.since(demand.seen).0 <= GATE_VALID_MS);
    }

    /// Returns the part of the capacity that one gate may fill. The parts of all gates make up the
    /// whole: half is divided evenly, half by what each gate was offered.
    fn portion(&self, gate: &GateId, now: Millis) -> f64 {
        let even = 1.0 / fraction(u64::try_from(self.gates.len().max(1)).unwrap_or(1));
        let offered = |demand: &GateDemand| demand.offered.value(now);
        let total: f64 = self.gates.values().map(offered).sum();
        let own = self.gates.get(gate).map_or(0.0, offered);
        let by_demand = if total > 0.0 { own / total } else { even };
        f64::midpoint(even, by_demand)
    }

    fn teams_over_share(&self, rules: &Rules, now: Millis) -> Vec<TeamOutlook> {
        let over = self.teams.iter().filter_map(|(team, offered)| {
            let weight = rules.teams.get(team)?.weight;
            let rate = offered.rate(now) * 1_000.0;
            (weight > 0.0 && rate > weight * SHARE_TOLERANCE).then(|| TeamOutlook {
                team: team.clone(),
                within: portion_of(weight, rate),
            })
        });
        let mut over: Vec<TeamOutlook> = over.collect();
        over.sort_unstable_by(|one, other| one.team.cmp(&other.team));
        over
    }

    /// Returns the work that arrives for a queue, per millisecond.
    fn arrivals(&self, queue: &QueueId, now: Millis) -> f64 {
        self.queues.get(queue).map_or(0.0, |history| {
            let [short, long] = &history.arrivals;
            short.rate(now).min(long.rate(now))
        })
    }

    /// Returns how long the tasks of a queue that started lately have waited on average.
    fn started_wait(&self, queue: &QueueId, now: Millis) -> Millis {
        let wait = self.queues.get(queue).map_or(0.0, |history| {
            history.waits.value(now) / history.starts.value(now).max(f64::MIN_POSITIVE)
        });
        Millis(whole(wait))
    }

    /// Returns the work that the service starts per millisecond when it is full. Work that starts is
    /// measured by the same estimates as work that waits, so an error that all estimates share cancels
    /// out; estimates that are too low are left to observation.
    fn service_rate(&self, service: &str, now: Millis) -> f64 {
        let started = self.started.get(service);
        let started = started.map_or(0.0, |started| started.rate(now));
        started.max(fraction(WHOLE))
    }

    fn forecast(
        &self,
        load: &ServiceLoad,
        queue: &QueueLoad,
        portion: f64,
        now: Millis,
    ) -> QueueOutlook {
        let rate = self.service_rate(&load.service, now);
        let lane = |lane: Lane, works: &[f64], arriving: f64| {
            let rate = (rate - arriving).max(rate * LEAST_CAPACITY);
            let observed = self.observe(queue, lane, now);
            let bounded = |work: &f64| Millis(whole(work / rate).min(observed.ceiling.0));
            LaneOutlook {
                waits: works.iter().map(bounded).collect(),
                ceiling: observed.ceiling,
                rate: whole(rate * portion).max(1),
            }
            .raised(observed.floor)
        };
        let arrivals = |other: &QueueLoad| self.arrivals(&other.queue, now);
        let urgent = |other: &&QueueLoad| other.priority < queue.priority;
        let arriving: f64 = load.queues.iter().map(arrivals).sum();
        let arriving_urgent: f64 = load.queues.iter().filter(urgent).map(arrivals).sum();
        let ahead = WorkAhead::of(load, queue);
        QueueOutlook {
            queue: queue.queue.clone(),
            service: load.service.clone(),
            priority: queue.priority,
            in_time: lane(Lane::InTime, &ahead.in_time, arriving_urgent),
            late: lane(Lane::Late, &[ahead.late], arriving),
            over_share: lane(Lane::OverShare, &[ahead.over_share], arriving),
            wanted: queue.wanted,
            free: queue.free.clone(),
        }
    }

    /// Returns the bounds that observation sets to the forecast of a lane. Steps that started lately
    /// may have waited long before a burst ended, so the oldest waiting step counts as well.
    fn observe(&self, queue: &QueueLoad, lane: Lane, now: Millis) -> ObservedBounds {
        let started = self.started_wait(&queue.queue, now);
        let lanes = &queue.oldest[..=lane as usize];
        let oldest = lanes.iter().max().copied().unwrap_or_default();
        // A queue of which nothing waits has been served: what started earlier says nothing about it.
        let longest = if oldest == Millis::ZERO {
            oldest
        } else {
            started.max(oldest)
        };
        ObservedBounds {
            floor: started.min(oldest),
            ceiling: Millis(longest.0 * EVIDENCE_FACTOR),
        }
    }
}

/// Work that is served before a new job of a queue, by the lane that the job is in.
struct WorkAhead {
    /// By the class of the job's own objective.
    in_time: Vec<f64>,
    late: f64,
    over_share: f64,
}

impl WorkAhead {
    fn of(load: &ServiceLoad, queue: &QueueLoad) -> Self {
        let sum = |works: &[u64]| works.iter().copied().map(fraction).sum::<f64>();
        let mut ahead = Self {
            in_time: vec![0.0; HORIZONS_MS.len() + 1],
            late: 0.0,
            over_share: 0.0,
        };
        for other in &load.queues {
            let is_urgent = other.priority < queue.priority;
            let is_equal = other.priority == queue.priority;
            let all = sum(&other.in_time);
            for (classes, work) in ahead.in_time.iter_mut().enumerate() {
                if is_urgent {
                    *work += all;
                } else if is_equal {
                    *work += sum(&other.in_time[..classes]);
                }
            }
            let late = fraction(other.late);
            ahead.late += all;
            ahead.over_share += all + late;
            if is_urgent || is_equal {
                ahead.late += late;
                ahead.over_share += fraction(other.over_share);
            }
        }
        ahead
    }
}

/// Bounds of a forecast.
struct ObservedBounds {
    floor: Millis,
    ceiling: Millis,
}

/// Returns a part of a whole in millionths, at least 1.
fn portion_of(part: f64, of: f64) -> u64 {
    whole(part / of * fraction(WHOLE)).max(1)
}
