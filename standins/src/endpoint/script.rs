//! Answers whose bytes a test chooses one by one.

use std::sync::Arc;

use rattanstall::clock::Millis;

use super::Ending;

/// The bytes of an answer, and what becomes of its connection.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// What is written, each after a pause.
    pub steps: Vec<(Millis, Vec<u8>)>,
    /// How the connection ends; `None` keeps it for the next request.
    pub ending: Option<Ending>,
}

/// Returns the answer to a request with this head.
pub type Scripter = Arc<dyn Fn(&str) -> Script + Send + Sync>;
