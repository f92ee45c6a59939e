//! Time in milliseconds: a monotonic clock that tests can drive by hand.

use std::ops::{Add, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time, or a span between two, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the clock, or an empty span.
    pub const ZERO: Self = Self(0);

    /// The span since `earlier`, zero if `earlier` lies in the future.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The span as a standard duration.
    pub fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// The span in whole seconds, rounded up.
    pub fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

/// A monotonic clock that includes the time during which the machine is
/// suspended, so that leases expire by it when they expire at the platform.
/// Clones share the same origin.
#[derive(Clone, Debug)]
pub enum Clock {
    /// Counts from the moment the process created it.
    System(Millis),
    /// Moves only when a test advances it.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// A clock that follows the operating system's time since boot.
    pub fn system() -> Self {
        Self::System(since_boot())
    }

    /// A clock that stays at zero until `advance` is called.
    pub fn manual() -> Self {
        Self::Manual(Arc::default())
    }

    /// The time since the clock's origin.
    pub fn now(&self) -> Millis {
        match self {
            Self::System(origin) => since_boot().since(*origin),
            Self::Manual(now) => Millis(now.load(Ordering::Acquire)),
        }
    }

    /// Moves a manual clock forward; a system clock is left as it is.
    pub fn advance(&self, by: Millis) {
        if let Self::Manual(now) = self {
            now.fetch_add(by.0, Ordering::AcqRel);
        }
    }
}

fn since_boot() -> Millis {
    let now = clock_gettime(ClockId::Boottime);
    Millis(now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000)
}

/// Wall-clock time in milliseconds since the Unix epoch, for records only.
pub fn unix_now() -> Millis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(elapsed.as_millis() as u64)
}
