//! Reports the teams' shares of the fleet and the room for late urgent work as metrics, and logs which
//! teams exceed their fair share.

use tracing::info;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::TeamId;
use wigeongate_core::team_shares::TeamShare;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::WorkflowScheduler;

use super::shared::Shared;

/// The interval between two reports, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// The least time between two lines on the same team, in milliseconds.
const TEAM_INTERVAL_MS: u64 = 5_000;

/// The most lines of one report.
const MAX_LINES: usize = 4;

/// What was last logged of a team.
#[derive(Debug, Default)]
struct Logged {
    is_over: bool,
    at: Option<Millis>,
}

/// Reports the shares at an interval.
#[derive(Debug, Default)]
pub struct ShareReport {
    next: Millis,
    logged: HashMap<TeamId, Logged>,
}

impl ShareReport {
    /// Reports the shares if that is due.
    pub fn tick(&mut self, scheduler: &WorkflowScheduler, shared: &Shared) {
        let now = shared.now();
        if now < self.next {
            return;
        }
        self.next = now + Millis(INTERVAL_MS);
        let services = scheduler.services_with_room();
        let rooms = services.map(|(service, has_room)| (service.to_owned(), u64::from(has_room)));
        let metrics = &shared.metrics;
        metrics.replace_gauges("urgent_room", rooms.collect());
        let mut teams: Vec<(&TeamId, TeamShare)> = scheduler.team_shares().collect();
        if teams.is_empty() && self.logged.is_empty() {
            return;
        }
        teams.sort_unstable_by_key(|(team, _)| *team);
        let values = |of: fn(&TeamShare) -> f64| {
            teams
                .iter()
                .map(|(team, share)| (team.to_string(), millionths(of(share))))
                .collect()
        };
        metrics.replace_gauges("team_share_ppm", values(|it| it.share));
        metrics.replace_gauges("team_fair_share_ppm", values(|it| it.fair));
        self.log(&teams, now);
    }

    /// Logs which teams have begun or ceased to exceed their fair share.
    fn log(&mut self, teams: &[(&TeamId, TeamShare)], now: Millis) {
        let mut lines = 0;
        for (team, share) in teams {
            let logged = self.logged.entry((*team).clone()).or_default();
            let is_due = logged
                .at
                .is_none_or(|at| now.since(at).0 >= TEAM_INTERVAL_MS);
            if logged.is_over == share.is_over || !is_due || lines >= MAX_LINES {
                continue;
            }
            lines += 1;
            logged.is_over = share.is_over;
            logged.at = Some(now);
            let share_ppm = millionths(share.share);
            let fair_ppm = millionths(share.fair);
            if share.is_over {
                info!(%team, share_ppm, fair_ppm,
                    "owner: the team uses more than its fair share; its work is placed after that of others.");
            } else {
                info!(%team, share_ppm, fair_ppm,
                    "owner: the team's work is no longer placed after that of others.");
            }
        }
        self.logged
            .retain(|team, _| teams.iter().any(|(known, _)| *known == team));
    }
}

/// Returns a fraction in millionths.
fn millionths(fraction: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "shares are small and not negative, and the conversion saturates"
    )]
    let millionths = (fraction * 1e6) as u64;
    millionths
}
