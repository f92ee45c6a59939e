//! What the control thread spends its time on, and how long events wait for it.

use crate::clock::Millis;
use crate::journal;

/// Minimum time between two `control.delayed` log lines.
const LOG_INTERVAL: Millis = Millis(1_000);
/// An event that waited longer than this is logged: ticks come every 50 ms, so that
/// several of them are late.
const MAX_WAIT: Millis = Millis(250);
/// Number of kinds of events that a log line lists.
const MAX_LOGGED_KINDS: usize = 6;

/// Events of one kind.
#[derive(Clone, Copy, Debug)]
struct KindUsage {
    kind: &'static str,
    events: u32,
    busy: Millis,
}

/// The work of the control thread since the last interval began.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    since: Millis,
    longest_wait: Millis,
    kinds: Vec<KindUsage>,
}

impl Workload {
    /// Records one event: its kind, how long it waited, and how long its processing took.
    pub fn record(&mut self, kind: &'static str, waited: Millis, took: Millis) {
        self.longest_wait = self.longest_wait.max(waited);
        match self.kinds.iter_mut().find(|k| k.kind == kind) {
            Some(known) => {
                known.events += 1;
                known.busy = known.busy + took;
            }
            None => self.kinds.push(KindUsage {
                kind,
                events: 1,
                busy: took,
            }),
        }
    }

    /// Ends the interval if it is over, and logs it if an event waited too long. `queued`
    /// is the number of events that still wait.
    pub fn log_if_due(&mut self, now: Millis, queued: usize) {
        if now.since(self.since) < LOG_INTERVAL {
            return;
        }
        let mut ended = std::mem::take(self);
        self.since = now;
        if ended.longest_wait <= MAX_WAIT {
            return;
        }
        let busy: u64 = ended.kinds.iter().map(|k| k.busy.0).sum();
        ended.kinds.sort_by_key(|k| std::cmp::Reverse(k.busy));
        let rows = ended.kinds.iter().take(MAX_LOGGED_KINDS);
        let rows = rows.map(|k| format!("{} {}x {} ms", k.kind, k.events, k.busy.0));
        let rows: Vec<String> = rows.collect();
        journal::write(
            "control.delayed",
            &[
                ("waited_ms", ended.longest_wait.into()),
                ("queued", queued.into()),
                ("span_ms", now.since(ended.since).into()),
                ("busy_ms", busy.into()),
                ("kinds", (&rows.join(", ")).into()),
            ],
        );
    }
}
