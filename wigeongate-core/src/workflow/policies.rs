//! Which optional scheduling policies are in force.

/// The optional scheduling policies; all off by default.
///
/// They serve deployments whose fleet is full on ordinary days. See `docs/design/contention.md`.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent option of the operators"
)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Policies {
    /// Whether jobs that would end worthless are refused on arrival.
    pub admission: bool,
    /// Whether teams that use more than their fair share rank behind others on a full fleet.
    pub shares: bool,
    /// Whether predicted run times replace the callers' estimates.
    pub run_times: bool,
    /// Whether placement takes the learnt speed of hosts into account.
    pub host_speeds: bool,
    /// Whether capacity is kept available for the most urgent work.
    pub urgent: bool,
}
