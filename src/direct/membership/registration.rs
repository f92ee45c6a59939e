//! Follows this gateway's own registration, a key of the store under a lease.
//!
//! The store may carry out a write seconds after its caller gave up on it, and it removes the
//! keys of a lease that ends. So the key may be replaced or removed at any time after it was
//! written. Each write depends on the key's revision, so that a late one replaces nothing that
//! is newer, and what the store shows of the key is compared with what was written last.

use crate::clock::Millis;

/// Delay before a write that failed is repeated. It doubles with each failure in a row.
const RETRY_DELAY: Millis = Millis(150);
const MAX_DOUBLINGS: u32 = 3;
/// Shortest time between two writes of a registration that does not stand for long. Two
/// processes with one name would otherwise replace each other's without a pause.
const MIN_REWRITE_INTERVAL: Millis = Millis(1_000);

/// What the store shows of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The revision of its last change, or of a list without it.
    pub revision: u64,
    /// Whether it exists.
    pub is_present: bool,
}

/// Why the registration does not stand any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The key is gone.
    Removed,
    /// The key was written again, by a late write or by another process.
    Replaced,
}

impl Loss {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Removed => "removed",
            Self::Replaced => "replaced",
        }
    }
}

/// A write that is to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Write {
    /// The lease on which the key is to depend.
    pub lease: u64,
    /// The revision that the key must have; 0 if it must not exist.
    pub expected: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// There is no lease to write it under.
    #[default]
    Unleased,
    Due {
        at: Millis,
        lease: u64,
    },
    Writing {
        lease: u64,
    },
    Standing {
        since: Millis,
        lease: u64,
        revision: u64,
    },
}

/// The state of this gateway's registration.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnRegistration {
    state: State,
    /// The last change of the key that is known.
    seen: Option<Seen>,
    /// The revision that the next write expects; 0 if the key must not exist.
    expected: u64,
    is_lost: bool,
    /// Writes that failed in a row.
    failures: u32,
}

impl OwnRegistration {
    /// Whether the store has shown that the registration does not stand, and it has not been
    /// written since.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Since when it stands, if it does.
    pub fn stands_since(&self) -> Option<Millis> {
        match self.state {
            State::Standing { since, .. } => Some(since),
            State::Unleased | State::Due { .. } | State::Writing { .. } => None,
        }
    }

    /// A lease was opened: the registration is written under it.
    pub fn lease_opened(&mut self, now: Millis, lease: u64) {
        self.failures = 0;
        self.state = State::Due { at: now, lease };
    }

    /// The lease has ended.
    pub fn lease_lost(&mut self) {
        self.state = State::Unleased;
    }

    /// Returns the write that is due, which counts as under way from now on.
    pub fn take_write(&mut self, now: Millis) -> Option<Write> {
        let State::Due { at, lease } = self.state else {
            return None;
        };
        if now < at {
            return None;
        }
        self.state = State::Writing { lease };
        Some(Write {
            lease,
            expected: self.expected,
        })
    }

    /// A write was answered. Returns why the registration does not stand nevertheless.
    pub fn written(&mut self, now: Millis, lease: u64, revision: u64) -> Option<Loss> {
        if !self.is_writing(lease) {
            return None;
        }
        self.state = State::Standing {
            since: now,
            lease,
            revision,
        };
        self.is_lost = false;
        self.failures = 0;
        let newer = self.seen.filter(|seen| seen.revision > revision);
        if let Some(newer) = newer {
            return self.lose(now, newer);
        }
        self.seen = Some(Seen {
            revision,
            is_present: true,
        });
        self.expected = revision;
        None
    }

    /// The key did not have the expected revision but this one; 0 if it does not exist.
    pub fn conflicted(&mut self, now: Millis, lease: u64, found: u64) {
        if self.is_writing(lease) {
            self.expected = found;
            self.state = State::Due { at: now, lease };
        }
    }

    /// A write failed. It may have taken effect, or may still do so.
    pub fn failed(&mut self, now: Millis, lease: u64) {
        if self.is_writing(lease) {
            let at = now + Millis(RETRY_DELAY.0 << self.failures.min(MAX_DOUBLINGS));
            self.failures += 1;
            self.state = State::Due { at, lease };
        }
    }

    /// The store shows the key. Returns why the registration does not stand, if that is new.
    pub fn observe(&mut self, now: Millis, seen: Seen) -> Option<Loss> {
        if self
            .seen
            .is_some_and(|known| known.revision >= seen.revision)
        {
            return None;
        }
        self.seen = Some(seen);
        self.expected = if seen.is_present { seen.revision } else { 0 };
        match self.state {
            State::Standing { revision, .. } if seen.revision > revision => self.lose(now, seen),
            _ => None,
        }
    }

    fn lose(&mut self, now: Millis, seen: Seen) -> Option<Loss> {
        let State::Standing { since, lease, .. } = self.state else {
            return None;
        };
        let at = now.max(since + MIN_REWRITE_INTERVAL);
        self.state = State::Due { at, lease };
        self.is_lost = true;
        Some(match seen.is_present {
            true => Loss::Replaced,
            false => Loss::Removed,
        })
    }

    fn is_writing(&self, lease: u64) -> bool {
        self.state == State::Writing { lease }
    }
}
