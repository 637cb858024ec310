//! Tracks until when the tasks of a host may run, as each poll extends their leases.
//!
//! An executor carries out a poll before its answer arrives, and at times without an answer. Its
//! tasks may therefore run until the latest deadline that was ever sent, while the host is trusted
//! with new work only until the latest deadline that was confirmed. A host that is slow to answer
//! after a partition must not lose its running tasks to other hosts.

use crate::time::Millis;

/// How much slower an executor's clock may run, in parts per thousand.
const CLOCK_DRIFT_PER_MILLE: u64 = 21;

/// The time added to a lease on the owner's side for the transit of an answer, in milliseconds.
const TRANSIT_MS: u64 = 100;

/// The longest time that a call is under way, in milliseconds; its connection is closed after that.
const MAX_CALL_MS: u64 = 2_400;

/// The longest time that an order is under way, in milliseconds.
const MAX_ORDER_MS: u64 = 700;

/// The lease of a host that has announced its shutdown, in percent of the longest one. Nothing but the
/// end of its leases proves that such a host has ended, and its tasks wait for that.
const DEPARTING_LEASE_PERCENT: u64 = 60;

/// Returns the task lease that a host is given once it has announced its shutdown.
pub const fn departing_lease(lease: Millis) -> Millis {
    Millis(lease.0 * DEPARTING_LEASE_PERCENT / 100)
}

/// A poll that is about to be sent. Its deadline and number only mean something to the boot for
/// which it was planned; another one may still carry it out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Poll {
    /// When it is sent, on the caller's clock.
    pub sent: Millis,
    /// The boot for which it was planned, in milliseconds since 1970; zero before the first answer.
    pub boot_ms: u64,
    /// The number of the last end that the executor may forget.
    pub acknowledged: u64,
    /// The deadline to send, in milliseconds of the executor's clock; `None` leaves the leases as
    /// they are.
    pub deadline: Option<u64>,
    /// The time until which tasks may run if the poll takes effect, on the caller's clock.
    pub runs_until: Millis,
}

/// The lease of a start that was ordered and not sent yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartLease {
    /// The boot for which it was planned, in milliseconds since 1970.
    pub boot_ms: u64,
    /// The deadline to send, in milliseconds of the executor's clock.
    pub deadline: u64,
}

/// The last known state of one boot of an executor: its clock, the leases that it was given and the
/// ends that it may forget. Nothing is kept for another boot.
#[derive(Debug, Clone, Copy, Default)]
pub struct HostLease {
    /// The longest duration of a task lease.
    lease: Millis,
    /// The duration of the leases that are granted now; never above `lease`.
    granted: Millis,
    /// The executor's clock in its last answer, in milliseconds; zero before the first answer.
    clock_ms: u64,
    /// When that answer arrived, by the caller's clock.
    received: Millis,
    /// The latest deadline that an answer confirmed, in milliseconds of the executor's clock; zero
    /// for none.
    confirmed: u64,
    /// The latest deadline that was sent; never before `confirmed`.
    sent: u64,
    /// When the executor that answered last started, in milliseconds since 1970; identifies the
    /// boot.
    boot_ms: u64,
    /// When the newest of the answered polls was sent.
    newest_sent: Millis,
    /// The number of the last end of this boot that the executor may forget.
    acknowledged: u64,
    /// Whether the last poll got no answer. Leases are then not extended until the next answer, so
    /// that they end on a host that receives calls but whose answers are lost.
    unanswered: bool,
}

impl HostLease {
    /// Creates the state of an executor that has not answered yet and gives leases of this
    /// duration.
    pub fn new(lease: Millis) -> Self {
        Self {
            lease,
            granted: lease,
            ..Self::default()
        }
    }

    /// Sets whether the host has announced its shutdown.
    pub const fn set_departing(&mut self, is_departing: bool) {
        self.granted = if is_departing {
            departing_lease(self.lease)
        } else {
            self.lease
        };
    }

    /// Returns whether the executor has answered.
    pub const fn has_answered(&self) -> bool {
        self.clock_ms > 0
    }

    /// Lets the executor forget the ends of a boot up to a number; returns false if another boot has
    /// answered last.
    pub fn acknowledge(&mut self, boot_ms: u64, number: u64) -> bool {
        let is_current = self.boot_ms == boot_ms;
        if is_current {
            self.acknowledged = self.acknowledged.max(number);
        }
        is_current
    }

    /// Returns the number of the last end that the executor may forget.
    pub const fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Returns the latest confirmed deadline on the executor's clock, in milliseconds; `None`
    /// before the first.
    pub fn deadline(&self) -> Option<u64> {
        (self.confirmed > 0).then_some(self.confirmed)
    }

    /// Plans a start that was ordered just now; `None` without a confirmed deadline. The start may
    /// wait before it is sent, and the order counts as ended with the leases that were known here.
    pub fn plan_start(&self) -> Option<StartLease> {
        let boot_ms = self.boot_ms;
        self.deadline()
            .map(|deadline| StartLease { boot_ms, deadline })
    }

    /// Returns whether a planned start may be sent at `now`: the boot for which it was planned is the
    /// newest one known and answers, and its run ends by `last_grant`. A boot that is not known yet
    /// may carry it out, and shortens the deadline to the longest lease from the arrival; after a
    /// silence its run could outlast the leases of the earlier boot.
    pub fn may_send(&self, start: &StartLease, now: Millis, last_grant: Millis) -> bool {
        let is_known = start.boot_ms == self.boot_ms && !self.unanswered;
        is_known && now + Millis(MAX_ORDER_MS) + self.lease <= last_grant
    }

    /// Returns the time until which leases are confirmed, on the caller's clock.
    pub fn confirmed_until(&self) -> Millis {
        self.local(self.confirmed)
    }

    /// Plans a poll that is sent at `now`. Its deadline counts as sent from here on; a lease ends at
    /// `last_grant` at the latest.
    pub fn begin_poll(&mut self, now: Millis, last_grant: Millis) -> Poll {
        let lease = self.granted.0.min(last_grant.since(now).0);
        let extended = self.clock_ms + now.since(self.received).0 + lease;
        // After a silence another boot may carry out the poll, and would take the deadline of this one
        // for a lease that begins then.
        let extends = self.has_answered() && !self.unanswered && lease > 0;
        let deadline = extends.then_some(extended.max(self.confirmed));
        self.sent = self.sent.max(deadline.unwrap_or_default());
        Poll {
            sent: now,
            boot_ms: self.boot_ms,
            // After a silence another boot may carry out the poll, with ends of its own.
            acknowledged: if self.unanswered {
                0
            } else {
                self.acknowledged
            },
            deadline,
            runs_until: self.local(self.sent),
        }
    }

    /// Applies an answer that arrived at `now`; returns the time until which leases are confirmed.
    ///
    /// An answer of an earlier boot that arrives late changes nothing.
    pub fn record_answer(
        &mut self,
        poll: Poll,
        boot_ms: u64,
        clock_ms: u64,
        now: Millis,
    ) -> Millis {
        if self.boot_ms != boot_ms {
            if self.has_answered() && poll.sent <= self.newest_sent {
                return self.confirmed_until();
            }
            let is_restart = self.has_answered();
            *self = Self {
                granted: self.granted,
                ..Self::new(self.lease)
            };
            if is_restart {
                // Calls for the earlier boot may still reach this one, which shortens their deadlines
                // to the longest lease.
                self.sent = clock_ms + self.lease.0 + MAX_CALL_MS;
            }
        }
        self.boot_ms = boot_ms;
        self.newest_sent = self.newest_sent.max(poll.sent);
        self.unanswered = false;
        self.clock_ms = clock_ms;
        self.received = now;
        // A deadline on the clock of another boot says nothing of this one.
        if poll.boot_ms == boot_ms {
            self.confirmed = self.confirmed.max(poll.deadline.unwrap_or_default());
            self.sent = self.sent.max(self.confirmed);
        }
        if self.confirmed > 0 {
            return self.confirmed_until();
        }
        // This owner has sent no deadline, so runs may have the longest lease.
        now + slowest(self.lease.0)
    }

    /// Records that a poll got no answer.
    pub const fn record_silence(&mut self) {
        self.unanswered = true;
    }

    /// Returns the caller's time at which a deadline has passed on the slowest executor's clock.
    fn local(&self, deadline: u64) -> Millis {
        if deadline == 0 {
            return Millis::ZERO;
        }
        self.received + slowest(deadline.saturating_sub(self.clock_ms)) + Millis(TRANSIT_MS)
    }
}

/// Returns how long a time on an executor's clock may take.
pub(super) const fn slowest(ms: u64) -> Millis {
    Millis(ms + ms * CLOCK_DRIFT_PER_MILLE / 1_000)
}
