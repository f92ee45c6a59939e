//! What a running process does on signals.

use crate::journal;
use crate::signals::Action;

/// Logs a signal that arrived.
pub fn log_signal(signal: &str, action: Action) {
    journal::write(
        "process.signal",
        &[
            ("signal", signal.into()),
            ("action", action.as_str().into()),
        ],
    );
}
