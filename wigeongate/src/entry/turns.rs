//! Keeps loops over many items from holding up the other work of the gate.

/// The most items that a loop handles between two turns of the gate's other work: renewals of the lease,
/// callers and readiness checks. A count, since a bound on time would depend on the clock and on how
/// fast the host is.
pub const MAX_ITEMS: usize = 64;

/// The items that a loop has handled since the other work of the gate had its turn.
#[derive(Debug, Default)]
pub struct Turns(usize);

impl Turns {
    /// Counts handled items, and gives the other work its turn after [`MAX_ITEMS`].
    pub async fn count(&mut self, items: usize) {
        self.0 += items;
        if self.0 >= MAX_ITEMS {
            self.0 = 0;
            tokio::task::yield_now().await;
        }
    }
}
