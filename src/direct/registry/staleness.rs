//! Whether the known registrations are older than they get while calls of the store are answered.

use crate::clock::Millis;

/// A change to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgeChange {
    /// The registrations are stale from now on.
    Stale,
    /// They are current again, and had not been read for this long.
    Current(Millis),
}

/// Tracks the age of the registrations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Staleness {
    /// The greatest age since they became stale; `None` while they are current.
    greatest: Option<Millis>,
}

impl Staleness {
    /// Updates the age. They are stale above `max_age`.
    pub fn update(&mut self, age: Millis, max_age: Millis) -> Option<AgeChange> {
        if age > max_age {
            let was_current = self.greatest.is_none();
            self.greatest = self.greatest.max(Some(age));
            return was_current.then_some(AgeChange::Stale);
        }
        self.greatest.take().map(AgeChange::Current)
    }
}
