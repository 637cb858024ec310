//! The owners of pools: each runs the scheduler of its pool and carries out its actions.

mod balancer;
mod digest;
mod events;
mod handlers;
mod job_table;
pub(crate) mod limits;
mod message;
mod moving;
mod pool;
mod pools;

pub use self::balancer::SliceBalancer;
pub(crate) use self::digest::team_lines;
pub use self::message::{
    Accepted, Cancel, CancelError, ConfigurationChanged, GetDigest, List, ListIdle, LoadMoved,
    Lost, MoveJob, OtherPoolUsage, RecordWritten, RecordsLoaded, Reported, Stale, Status, Stop,
    Submit, SubmitError, TeamSlices, Tick, Wait, Waited,
};
pub use self::pool::{OwnerSettings, PoolOwner};
pub use self::pools::PoolOwners;
