//! Retry budget and backoff of failed requests.

use crate::collections::HashMap;
use crate::ids::TeamId;
use crate::time::Millis;

/// Number of tokens that one retry costs.
const RETRY_COST: u32 = 100;

/// Number of tokens that a first send earns, which keeps retries under a tenth of the sends.
const TOKENS_PER_SEND: u32 = 9;

/// Maximum number of tokens of a team: enough for ten retries.
const MAX_TOKENS: u32 = 10 * RETRY_COST;

/// Maximum delay before the first retry.
const BACKOFF_FIRST: Millis = Millis(20);

/// Maximum delay before any retry.
const BACKOFF_MAX: Millis = Millis(1_000);

/// Token buckets that limit the retries of each team.
#[derive(Debug, Default)]
pub struct RetryTokens {
    /// Invariant: no team has more than `MAX_TOKENS` tokens.
    tokens: HashMap<TeamId, u32>,
}

impl RetryTokens {
    /// Credits a team with the tokens of a first send.
    pub fn record_send(&mut self, team: &TeamId) {
        let tokens = self.tokens.entry(team.clone()).or_insert(RETRY_COST);
        *tokens = (*tokens + TOKENS_PER_SEND).min(MAX_TOKENS);
    }

    /// Spends the tokens of one retry, and returns whether the team had enough.
    pub fn try_spend(&mut self, team: &TeamId) -> bool {
        let Some(tokens) = self.tokens.get_mut(team) else {
            return false;
        };
        let left = tokens.checked_sub(RETRY_COST);
        *tokens = left.unwrap_or(*tokens);
        left.is_some()
    }
}

/// Returns the delay before a retry: a uniformly random value from a range that doubles with each
/// retry up to a maximum.
///
/// `random` must be uniformly distributed over the whole range of its type.
pub fn backoff(retry: u32, random: u32) -> Millis {
    let most = BACKOFF_FIRST
        .0
        .saturating_mul(1 << retry.min(16))
        .min(BACKOFF_MAX.0);
    Millis(1 + u64::from(random) % most)
}

/// Returns whether a retry after `delay` with an expected run time of `run` ends before `deadline`.
pub fn meets_deadline(now: Millis, delay: Millis, run: Millis, deadline: Millis) -> bool {
    now.0.saturating_add(delay.0).saturating_add(run.0) < deadline.0
}
