//! What is to be told to all other gateways about parts, at a bounded rate.
//!
//! Rows are sent at once while the allowance lasts, and later as few full datagrams.
//! Each row is sent several times, because datagrams get lost.

use serde::Serialize;

use crate::clock::Millis;
use crate::direct::gossip::{Message, split_rows};
use crate::direct::suspects::{Block, CrashId, CrashReport, PartId, PartProgress};

/// Datagrams per second that a gateway receives at most if all others send as many as
/// they may. Each has at most `MAX_DATAGRAM_BYTES`.
const MAX_RECEIVED_PER_S: u64 = 2_000;
/// Bounds of the datagrams per second that one gateway sends to each other one.
const MIN_SENT_PER_S: u64 = 4;
const MAX_SENT_PER_S: u64 = 20;
/// Datagrams that may be sent after a pause without regard to the rate.
const MAX_BURST: u64 = 12;
/// Rows that are queued within this time go together.
const SEND_GAP: Millis = Millis(10);
/// Datagrams of the burst that are kept for rows that have not been sent yet.
const RESERVED_FOR_NEW: u64 = 4;
/// How often a row is sent, and the delay between two times. Crashes at about the same
/// time are judged after 120 ms, so all have to be sent by then.
const SENDS: u8 = 3;
const REPEAT_DELAY: Millis = Millis(20);
/// The most rows of one kind that wait. The periodic exchange delivers others.
const MAX_ROWS: usize = 512;
/// The most parts of a crash in one row; a row has to fit a datagram.
const MAX_ROW_PARTS: usize = 64;

/// A row of a message. Its age counts from the time at which it was queued.
pub(super) trait Row: Clone + Serialize {
    /// Rows with the same key are merged.
    type Key: Ord;

    fn key(&self) -> Self::Key;
    /// Adds a row with the same key, both with their ages as of now.
    fn merge(&mut self, other: Self);
    /// The row after some time, as rows that each fit a datagram.
    fn aged(&self, by: Millis) -> Vec<Self>;
    fn message(rows: Vec<Self>) -> Message;
}

impl Row for Block {
    type Key = PartId;

    fn key(&self) -> PartId {
        self.part
    }

    fn merge(&mut self, other: Self) {
        *self = other;
    }

    fn aged(&self, by: Millis) -> Vec<Self> {
        let since = self.since + by;
        vec![Self {
            since,
            ..self.clone()
        }]
    }

    fn message(rows: Vec<Self>) -> Message {
        Message::Blocks(rows)
    }
}

impl Row for CrashReport {
    type Key = CrashId;

    fn key(&self) -> CrashId {
        self.id
    }

    fn merge(&mut self, other: Self) {
        self.parts.extend(other.parts);
        self.parts.sort_unstable();
        self.parts.dedup();
    }

    fn aged(&self, by: Millis) -> Vec<Self> {
        let with = |parts: &[PartId]| Self {
            age: self.age + by,
            parts: parts.to_vec(),
            ..self.clone()
        };
        if self.parts.is_empty() {
            return vec![with(&[])];
        }
        self.parts.chunks(MAX_ROW_PARTS).map(with).collect()
    }

    fn message(rows: Vec<Self>) -> Message {
        Message::Crashes(rows)
    }
}

impl Row for PartProgress {
    type Key = PartId;

    fn key(&self) -> PartId {
        self.part
    }

    fn merge(&mut self, other: Self) {
        self.age = self.age.min(other.age);
    }

    fn aged(&self, by: Millis) -> Vec<Self> {
        let age = self.age + by;
        vec![Self { age, ..*self }]
    }

    fn message(rows: Vec<Self>) -> Message {
        Message::PartProgress(rows)
    }
}

/// Splits rows into messages that each fit a datagram.
pub(super) fn messages<T: Row>(rows: &[T]) -> Vec<Message> {
    if rows.is_empty() {
        return Vec::new();
    }
    let rows: Vec<T> = rows.iter().flat_map(|r| r.aged(Millis::ZERO)).collect();
    split_rows(&rows).into_iter().map(T::message).collect()
}

#[derive(Clone, Debug)]
struct Entry<T> {
    row: T,
    queued_at: Millis,
    due: Millis,
    times_sent: u8,
}

/// Rows of one kind, sorted by key.
#[derive(Clone, Debug)]
struct Queue<T>(Vec<Entry<T>>);

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T: Row> Queue<T> {
    fn push(&mut self, now: Millis, due: Millis, row: T) {
        let new = Entry {
            row,
            queued_at: now,
            due,
            times_sent: 0,
        };
        match self.find(&new.row.key()) {
            Ok(at) => {
                let known = &mut self.0[at];
                let aged = known.row.aged(now.since(known.queued_at));
                let due = match known.times_sent {
                    0 => known.due.min(due),
                    _ => due,
                };
                let mut merged = Entry { due, ..new };
                for row in aged {
                    let newer = std::mem::replace(&mut merged.row, row);
                    merged.row.merge(newer);
                }
                *known = merged;
            }
            Err(at) if self.0.len() < MAX_ROWS => self.0.insert(at, new),
            Err(_) => {}
        }
    }

    fn find(&self, key: &T::Key) -> Result<usize, usize> {
        self.0.binary_search_by(|e| e.row.key().cmp(key))
    }

    /// Sends rows that are due, either new ones or repetitions, as far as the allowance
    /// goes.
    fn send(&mut self, now: Millis, are_new: bool, allowed: &mut u64, sent: &mut Vec<Message>) {
        let is_due = |e: &Entry<T>| (e.times_sent == 0) == are_new && e.due <= now;
        if *allowed == 0 || !self.0.iter().any(is_due) {
            return;
        }
        let due = self.0.iter().filter(|e| is_due(e));
        let rows: Vec<T> = due
            .flat_map(|e| e.row.aged(now.since(e.queued_at)))
            .collect();
        let mut room = 0;
        for part in split_rows(&rows) {
            if *allowed == 0 {
                break;
            }
            *allowed -= 1;
            room += part.len();
            sent.push(T::message(part));
        }
        self.0.retain_mut(|e| {
            let size = e.row.aged(Millis::ZERO).len();
            if !is_due(e) || room < size {
                return true;
            }
            room -= size;
            e.due = now + REPEAT_DELAY;
            e.times_sent += 1;
            e.times_sent < SENDS
        });
    }

    fn next_due(&self) -> Option<Millis> {
        self.0.iter().map(|e| e.due).min()
    }
}

/// Rows that wait to be sent to all other gateways.
#[derive(Clone, Debug)]
pub(super) struct Outbox {
    blocks: Queue<Block>,
    crashes: Queue<CrashReport>,
    progress: Queue<PartProgress>,
    /// When there is something to send; nothing is done before.
    next_due: Millis,
    next_send: Millis,
    /// Datagrams that may be sent, in thousandths, as of `refilled_at`.
    allowance_milli: u64,
    refilled_at: Millis,
}

impl Default for Outbox {
    fn default() -> Self {
        Self {
            blocks: Queue::default(),
            crashes: Queue::default(),
            progress: Queue::default(),
            next_due: Millis(u64::MAX),
            next_send: Millis::ZERO,
            allowance_milli: MAX_BURST * 1_000,
            refilled_at: Millis::ZERO,
        }
    }
}

impl Outbox {
    /// Queues a block, or the end of one.
    pub(super) fn push_block(&mut self, now: Millis, block: Block) {
        self.blocks.push(now, now, block);
        self.next_due = self.next_due.min(now);
    }

    /// Queues a crash that this gateway saw.
    pub(super) fn push_crash(&mut self, now: Millis, report: CrashReport) {
        self.crashes.push(now, now, report);
        self.next_due = self.next_due.min(now);
    }

    /// Queues progress, to be sent after a delay.
    pub(super) fn push_progress(&mut self, now: Millis, delay: Millis, progress: PartProgress) {
        self.progress.push(now, now + delay, progress);
        self.next_due = self.next_due.min(now + delay);
    }

    /// Drops progress that another gateway has told with the same or a lower age, up to
    /// a tolerance.
    pub(super) fn suppress(&mut self, now: Millis, told: PartProgress, tolerance: Millis) {
        if let Ok(at) = self.progress.find(&told.part) {
            let known = &self.progress.0[at];
            let age = known.row.age + now.since(known.queued_at);
            if told.age <= age + tolerance {
                self.progress.0.remove(at);
            }
        }
    }

    /// Takes the messages that may be sent now to each of the other gateways.
    pub(super) fn take_due(&mut self, now: Millis, others: usize) -> Vec<Message> {
        let mut sent = Vec::new();
        if now < self.next_due.max(self.next_send) {
            return sent;
        }
        let per_s = MAX_RECEIVED_PER_S / others.max(1) as u64;
        let per_s = per_s.clamp(MIN_SENT_PER_S, MAX_SENT_PER_S);
        // A rate per second is the same number of thousandths per millisecond.
        let refill = now.since(self.refilled_at).0.saturating_mul(per_s);
        self.refilled_at = now;
        self.allowance_milli = (self.allowance_milli.saturating_add(refill)).min(MAX_BURST * 1_000);
        let before = self.allowance_milli / 1_000;
        let mut allowed = before;
        self.send(now, true, &mut allowed, &mut sent);
        let reserved = allowed.min(RESERVED_FOR_NEW);
        allowed -= reserved;
        self.send(now, false, &mut allowed, &mut sent);
        self.allowance_milli -= (before - allowed - reserved) * 1_000;
        if !sent.is_empty() {
            self.next_send = now + SEND_GAP;
        }
        let next = [
            self.blocks.next_due(),
            self.crashes.next_due(),
            self.progress.next_due(),
        ];
        let next = next.into_iter().flatten().min();
        // What is overdue waits for the allowance.
        let retry = now + Millis(1_000 / per_s);
        self.next_due = next.map_or(Millis(u64::MAX), |due| match due > now {
            true => due,
            false => retry,
        });
        sent
    }

    fn send(&mut self, now: Millis, are_new: bool, allowed: &mut u64, sent: &mut Vec<Message>) {
        self.blocks.send(now, are_new, allowed, sent);
        self.crashes.send(now, are_new, allowed, sent);
        self.progress.send(now, are_new, allowed, sent);
    }
}
