//! Admission of requests: which are refused while the process stops, and by urgency, which may
//! wait, in which order, and for how long.
//!
//! Nothing here does I/O.

pub mod draining;
pub mod retry_delay;
pub mod urgency;
pub mod waiting;
