//! Commands that show the state of gates, teams and held actions.

use wigeongate_api::operator::{GateStatus, HeldEntry, TeamStatus};
use wigeongate_core::resources::{MIB_PER_GIB, MILLICORES, Resources};

use super::Context;
use crate::error::CtlError;
use crate::output::{Table, print_line};

/// Prints the gates, the revisions of the configuration and whether the store answers.
pub async fn gates(context: &Context) -> Result<(), CtlError> {
    let step = "reading the status of the gates";
    let status: GateStatus = context.client.get(step, "/v1/operator/status").await?;
    context.printer.print(&status, || {
        let mut table = Table::new(["GATE", "ZONE", "STANDING", "REVISION", "UNITS"]);
        for line in &status.cluster.gates {
            table.add([
                line.gate.to_string(),
                line.zone.to_string(),
                line.status.clone(),
                line.revision.to_string(),
                line.units.to_string(),
            ]);
        }
        table
    });
    if !context.printer.is_json() {
        print_line("");
        print_line(&format!("accepted:   revision {}", status.cluster.accepted));
        print_line(&format!(
            "everywhere: revision {}",
            status.cluster.everywhere
        ));
        let store = if status.store {
            "answers"
        } else {
            "does not answer"
        };
        print_line(&format!("store:      {store} (asked by {})", status.gate));
    }
    Ok(())
}

/// Prints the share, the limit, and the running and queued work of each team.
pub async fn teams(context: &Context) -> Result<(), CtlError> {
    let step = "reading the status of the teams";
    let teams: Vec<TeamStatus> = context.client.get(step, "/v1/operator/teams").await?;
    context.printer.print(&teams, || {
        let mut table = Table::new(["TEAM", "SHARE", "LIMIT", "RUNNING", "QUEUED"]);
        for team in &teams {
            table.add([
                team.team.to_string(),
                team.share.to_string(),
                format_resources(&team.limit),
                format_resources(&team.running),
                team.queued.to_string(),
            ]);
        }
        table
    });
    Ok(())
}

/// Prints the automatic actions that the pause holds back.
pub async fn held(context: &Context) -> Result<(), CtlError> {
    let step = "listing the held actions";
    let lines: Vec<HeldEntry> = context.client.get(step, "/v1/operator/held").await?;
    context.printer.print(&lines, || {
        let mut table = Table::new(["POOL", "ACTION"]);
        for line in &lines {
            table.add([line.pool.to_string(), line.action.clone()]);
        }
        table
    });
    Ok(())
}

/// Formats an amount as cores, GiB and accelerators, each rounded up; `-` means unlimited.
fn format_resources(amount: &Resources) -> String {
    let scaled = |amount: u64, unit: u64| match amount {
        u64::MAX => "-".to_owned(),
        amount => format!("{}", amount.div_ceil(unit)),
    };
    let cores = scaled(amount.cpu, MILLICORES);
    let memory = scaled(amount.memory, MIB_PER_GIB);
    let accelerators = scaled(amount.accelerators, 1);
    format!("{cores} cores, {memory} GiB, {accelerators} acc")
}
