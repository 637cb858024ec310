//! The command line.

use bpaf::Bpaf;

use crate::config::{ConfigOptions, config_options};
use crate::control::{ControlOptions, control_options};
use crate::decide::{DecideOptions, decide_options};
use crate::faults::{FaultsOptions, faults_options};
use crate::outage::{OutageOptions, outage_options};
use crate::overload::{OverloadOptions, overload_options};
use crate::pack::{PackOptions, pack_options};
use crate::path::{PathOptions, path_options};
use crate::restore::{RestoreOptions, restore_options};
use crate::serve_soak::executor::{ExecutorOptions, executor_options};
use crate::serve_soak::store::{StoreOptions, store_options};
use crate::serve_soak::{ServeSoakOptions, serve_soak_options};
use crate::share::{ShareOptions, share_options};
use crate::soak::{SoakOptions, soak_options};
use crate::takeover::{TakeoverOptions, takeover_options};
use crate::wait::{WaitOptions, wait_options};
use crate::waiting::{WaitingOptions, waiting_options};
use crate::zone::{ZoneOptions, zone_options};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// The time of one decision of the scheduler.
    #[bpaf(command)]
    Decide(#[bpaf(external(decide_options))] DecideOptions),
    /// How much work is packed on a full fleet.
    #[bpaf(command)]
    Pack(#[bpaf(external(pack_options))] PackOptions),
    /// How near teams come to their shares.
    #[bpaf(command)]
    Share(#[bpaf(external(share_options))] ShareOptions),
    /// Waiting time by class on a full fleet.
    #[bpaf(command)]
    Wait(#[bpaf(external(wait_options))] WaitOptions),
    /// Work done while an availability zone leaves and returns.
    #[bpaf(command)]
    Zone(#[bpaf(external(zone_options))] ZoneOptions),
    /// Work done under faults.
    #[bpaf(command)]
    Faults(#[bpaf(external(faults_options))] FaultsOptions),
    /// What a gate costs its host, by workers and tasks.
    #[bpaf(command)]
    Control(#[bpaf(external(control_options))] ControlOptions),
    /// The cost of a gate on the way of a request.
    #[bpaf(command)]
    Path(#[bpaf(external(path_options))] PathOptions),
    /// Goodput at loads under and over the capacity.
    #[bpaf(command)]
    Overload(#[bpaf(external(overload_options))] OverloadOptions),
    /// Requests under faults, with a check of their history.
    #[bpaf(command)]
    Soak(#[bpaf(external(soak_options))] SoakOptions),
    /// Gates of `serve`, executors and a store as processes under faults.
    #[bpaf(command("serve-soak"))]
    ServeSoak(#[bpaf(external(serve_soak_options))] ServeSoakOptions),
    /// The store of `serve-soak`.
    #[bpaf(command("serve-soak-store"), hide)]
    ServeSoakStore(#[bpaf(external(store_options))] StoreOptions),
    /// An executor of `serve-soak`.
    #[bpaf(command("serve-soak-executor"), hide)]
    ServeSoakExecutor(#[bpaf(external(executor_options))] ExecutorOptions),
    /// The time from a change of the configuration to its being in force everywhere.
    #[bpaf(command)]
    Config(#[bpaf(external(config_options))] ConfigOptions),
    /// The time from the crash of a gate to the takeover of its units.
    #[bpaf(command)]
    Takeover(#[bpaf(external(takeover_options))] TakeoverOptions),
    /// How much units can be acted on while the store is down.
    #[bpaf(command)]
    Outage(#[bpaf(external(outage_options))] OutageOptions),
    /// What a new owner of `serve` spends on restoring the state of earlier owners.
    #[bpaf(command)]
    Restore(#[bpaf(external(restore_options))] RestoreOptions),
    /// What waiting work costs the owner of `serve` in time.
    #[bpaf(command)]
    Waiting(#[bpaf(external(waiting_options))] WaitingOptions),
}

/// Reads the command line; ends the process when it is wrong.
pub fn parse() -> Command {
    command().run()
}
