//! The times of the contact with a host, as they are logged.

use std::fmt::{self, Display, Formatter};

use wigeongate_core::time::Millis;
use wigeongate_core::workflow::HostContact;

/// When a host was last heard of and until when its runs may go on, relative to now.
#[derive(Debug, Clone, Copy)]
pub struct ContactAges<'a> {
    contact: &'a HostContact,
    now: Millis,
}

impl<'a> ContactAges<'a> {
    /// Relates the times of a contact to `now`.
    pub const fn new(contact: &'a HostContact, now: Millis) -> Self {
        Self { contact, now }
    }
}

impl Display for ContactAges<'_> {
    /// Writes ages and remaining times in milliseconds; those that are not known are left out, and a
    /// remaining time is negative once it has passed.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let contact = self.contact;
        let age = |at: Millis| self.now.since(at).0;
        if contact.reported == Millis::ZERO {
            f.write_str("no report before")?;
        } else {
            write!(f, "reported {} ms ago", age(contact.reported))?;
        }
        let events = [
            ("polls fail", contact.failed),
            ("refused or replaced", contact.refused),
            ("unlisted", contact.unlisted),
        ];
        for (what, since) in events {
            if let Some(since) = since {
                write!(f, ", {what} for {} ms", age(since))?;
            }
        }
        let leases = [
            ("confirmed", contact.confirmed),
            ("granted", contact.runs_until),
        ];
        for (what, end) in leases.into_iter().filter(|(_, end)| *end > Millis::ZERO) {
            let left = i128::from(end.0) - i128::from(self.now.0);
            write!(f, ", lease {what} for {left} ms more")?;
        }
        Ok(())
    }
}
