//! Settings that change while the process runs, and what it does on signals.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use super::control::Event;
use super::settings::{Bounds, ProcessSettings};
use super::shared::Shared;
use crate::error::{Error, Result};
use crate::journal;
use crate::signals::{Action, Signals};

/// Interval at which the settings file is checked for a change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// A settings file with the names of a platform.
pub trait SettingsFile: Send + 'static {
    /// Where the file is.
    fn path(&self) -> &Path;
    /// Decodes the file's content.
    fn parse(&self, text: &str) -> Result<ProcessSettings, InvalidSettings>;
    /// Finds the keys whose values differ. Both texts are valid.
    fn changes(&self, old: &str, new: &str) -> ChangedKeys;
}

/// Why settings are not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings {
    /// The invalid key; empty if the file cannot be read at all.
    pub key: CompactString,
    /// The reason.
    pub reason: String,
}

/// Keys whose values differ between two settings files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangedKeys {
    /// Keys that a running process applies.
    pub live: Vec<CompactString>,
    /// Keys that apply when a process starts.
    pub at_start: Vec<CompactString>,
}

/// The settings that a running process applies, and the version in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LiveSettings {
    /// The number of settings files that this process has taken, with the first one.
    pub version: u64,
    /// A hash of the file's content, equal at all processes with the same content.
    pub hash: u32,
    /// Bounds that the operator sets.
    pub bounds: Bounds,
    /// The maximum number of file descriptors that the process may open.
    pub max_descriptors: u32,
    /// The memory of the machine, over which the process is killed.
    pub memory_bytes: usize,
}

/// What became of a settings file that was read again.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Its content is the one in force, or was rejected before.
    Unchanged,
    /// It is in force, except for the keys that apply when a process starts.
    Applied(LiveSettings, ChangedKeys),
    /// It is not valid; the settings stay in force.
    Rejected(InvalidSettings),
}

/// Reads a process's settings at start and whenever they change.
pub struct Reloader {
    file: Box<dyn SettingsFile>,
    start: ProcessSettings,
    /// The content with which the process started. Keys that apply at start keep its values.
    start_text: String,
    /// The content in force.
    text: String,
    live: LiveSettings,
    /// What was rejected last, so that it is logged once.
    rejected: Option<(u32, InvalidSettings)>,
}

impl Reloader {
    /// Reads the settings with which a process starts.
    pub fn start(file: impl SettingsFile) -> Result<Self> {
        let path = file.path();
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::io(format!("reading {}", path.display()), source))?;
        let start = file.parse(&text).map_err(|invalid| Error::Settings {
            file: path.to_owned(),
            message: format!("{}: {}", invalid.key, invalid.reason),
        })?;
        let live = LiveSettings {
            version: 1,
            hash: hash_of(&text),
            bounds: start.gateway.bounds,
            max_descriptors: start.max_descriptors,
            memory_bytes: start.memory_bytes,
        };
        Ok(Self {
            file: Box::new(file),
            start,
            start_text: text.clone(),
            text,
            live,
            rejected: None,
        })
    }

    /// The settings with which the process started.
    pub fn settings(&self) -> &ProcessSettings {
        &self.start
    }

    /// The settings that a running process applies.
    pub fn live(&self) -> LiveSettings {
        self.live
    }

    /// Takes what was read from the file.
    pub fn take(&mut self, read: std::io::Result<String>) -> Outcome {
        let text = match read {
            Ok(text) => text,
            Err(error) => {
                return self.reject(
                    0,
                    InvalidSettings {
                        key: CompactString::default(),
                        reason: error.to_string(),
                    },
                );
            }
        };
        if text == self.text {
            self.rejected = None;
            return Outcome::Unchanged;
        }
        let hash = hash_of(&text);
        let settings = match self.file.parse(&text) {
            Ok(settings) => settings,
            Err(invalid) => return self.reject(hash, invalid),
        };
        self.rejected = None;
        let live = self.file.changes(&self.text, &text).live;
        let at_start = self.file.changes(&self.start_text, &text).at_start;
        self.text = text;
        self.live = LiveSettings {
            version: self.live.version + 1,
            hash,
            bounds: Bounds {
                // A leader's last orders arrive within the time that it was elected with,
                // so neither changes while a leader may hold another value.
                lease: self.live.bounds.lease,
                succession: self.live.bounds.succession,
                ..settings.gateway.bounds
            },
            max_descriptors: settings.max_descriptors,
            memory_bytes: settings.memory_bytes,
        };
        Outcome::Applied(self.live, ChangedKeys { live, at_start })
    }

    fn reject(&mut self, hash: u32, invalid: InvalidSettings) -> Outcome {
        let rejected = Some((hash, invalid.clone()));
        if self.rejected == rejected {
            return Outcome::Unchanged;
        }
        self.rejected = rejected;
        Outcome::Rejected(invalid)
    }

    /// Reads the file again on each reload signal and when it has changed, until the
    /// process ends.
    pub(super) fn run(mut self, shared: &Shared, signals: &Signals) {
        let mut stamp = None;
        loop {
            let is_requested = signals.wait_for_reload(POLL_INTERVAL);
            // Taken before the content, so that a write in between shows at the next poll.
            let new_stamp = Stamp::of(self.file.path());
            if !is_requested && stamp == Some(new_stamp) {
                continue;
            }
            stamp = Some(new_stamp);
            let read = std::fs::read_to_string(self.file.path());
            apply(shared, self.take(read));
        }
    }
}

fn apply(shared: &Shared, outcome: Outcome) {
    match outcome {
        Outcome::Unchanged => {}
        Outcome::Applied(live, changed) => {
            shared.set_live_settings(live);
            shared.send_event(Event::Bounds(live.bounds));
            log_applied(live, &changed);
        }
        Outcome::Rejected(invalid) => {
            shared.metrics.count_rejected_settings();
            journal::write(
                "settings.rejected",
                &[
                    ("key", (&invalid.key).into()),
                    ("why", (&invalid.reason).into()),
                ],
            );
        }
    }
}

fn log_applied(live: LiveSettings, changed: &ChangedKeys) {
    journal::write(
        "settings.reloaded",
        &[
            ("version", live.version.into()),
            ("hash", live.hash.into()),
            ("changed", (&changed.live.join(" ")).into()),
        ],
    );
    for key in &changed.at_start {
        let why = "it applies when the process starts";
        journal::write("settings.kept", &[("key", key.into()), ("why", why.into())]);
    }
}

/// Attributes of a file that differ after it was written or replaced; none if there is
/// no such file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp(Option<[i64; 6]>);

impl Stamp {
    fn of(path: &Path) -> Self {
        use std::os::unix::fs::MetadataExt as _;
        let found = std::fs::metadata(path).ok();
        Self(found.map(|m| {
            [
                m.ino() as i64,
                m.size() as i64,
                m.mtime(),
                m.mtime_nsec(),
                m.ctime(),
                m.ctime_nsec(),
            ]
        }))
    }
}

fn hash_of(text: &str) -> u32 {
    xxh3_64(text.as_bytes()) as u32
}

/// Starts the thread that reads the settings again.
pub(super) fn start_thread(
    reloader: Reloader,
    shared: Arc<Shared>,
    signals: Signals,
) -> Result<()> {
    std::thread::Builder::new()
        .name("settings".to_owned())
        .spawn(move || reloader.run(&shared, &signals))
        .map(drop)
        .map_err(|e| Error::io("starting the settings thread", e))
}

/// Logs a signal that arrived.
pub fn log_signal(signal: &str, action: Action) {
    journal::write(
        "process.signal",
        &[
            ("signal", signal.into()),
            ("action", action.as_str().into()),
        ],
    );
    if action == Action::Exit {
        journal::flush_at_end();
    }
}
