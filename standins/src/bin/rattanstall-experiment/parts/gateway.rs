//! What a gateway learns, tells the others and decides.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::format_compact;
use rand::RngExt as _;
use rattanstall::clock::Millis;
use rattanstall::direct::gossip::{Datagram, Message, encode, split_rows};
use rattanstall::direct::part_table::{PartLists, PartTable};
use rattanstall::direct::suspects::{Block, CrashId, CrashReport, Evidence, PartId, PartProgress};

use super::world::{CRASHING, Event, World};
use super::{Design, Outcome};

/// Rows that are queued within this time go together.
const SEND_GAP: u64 = 10;
/// Time between two publications of the lists.
const PUBLISH_INTERVAL: u64 = 10;
/// How often each row is sent, because datagrams get lost.
const SENDS: u64 = 3;
const REPEAT_DELAY: u64 = 20;
const LOST_ONE_IN: u32 = 100;
/// One gateway in this many is slow.
const SLOW_ONE_IN: u32 = 50;
/// How long a gateway that saw no crash waits for others to decide.
const SECONDHAND_DELAY: u64 = 600;
const ANSWER_MEMORY: u64 = 60_000;
const ANSWER_WINDOW: u64 = 30;
const KEEPERS: usize = 3;

#[derive(Clone, Debug)]
pub(super) enum News {
    Crash(CrashReport),
    Progress(PartProgress),
    Block(Block),
}

pub(super) struct Gateway {
    pub(super) evidence: Evidence,
    pub(super) table: PartTable,
    pub(super) lists: PartLists,
    is_slow: bool,
    outbox: Vec<News>,
    flushed: u64,
    is_flush_due: bool,
    is_decision_due: bool,
    next_publication: u64,
    is_publication_due: bool,
    last_seen: Option<u64>,
    /// When progress with a part was last told, by this gateway or another.
    told: BTreeMap<PartId, u64>,
    blocked_since: BTreeMap<PartId, u64>,
    /// Messages received and their bytes by second.
    received: BTreeMap<u64, (u64, u64)>,
}

impl Gateway {
    pub(super) fn new(drawn: u32) -> Self {
        Self {
            evidence: Evidence::default(),
            table: PartTable::default(),
            lists: PartLists::default(),
            is_slow: drawn.is_multiple_of(SLOW_ONE_IN),
            outbox: Vec::new(),
            flushed: 0,
            is_flush_due: false,
            is_decision_due: false,
            next_publication: 0,
            is_publication_due: false,
            last_seen: None,
            told: BTreeMap::new(),
            blocked_since: BTreeMap::new(),
            received: BTreeMap::new(),
        }
    }

    fn publish(&mut self, now: u64, outcome: &mut Outcome) {
        let lists = PartLists {
            blocked: self.evidence.blocked(),
            ties: self.evidence.ties(),
            watched: self.evidence.watched(),
        };
        if lists.blocked != self.lists.blocked {
            for part in &lists.blocked {
                self.blocked_since.entry(*part).or_insert(now);
            }
            let blocked = &lists.blocked;
            for (part, since) in self
                .blocked_since
                .extract_if(.., |part, _| blocked.binary_search(part).is_err())
            {
                outcome.note_unblocked(part, now - since);
            }
        }
        self.table.publish(lists.clone());
        self.lists = lists;
    }
}

impl World {
    fn is_alone(&self) -> bool {
        matches!(self.scenario.design, Design::Alone)
    }

    /// A gateway saw that an endpoint ended.
    pub(super) fn seen(&mut self, at: usize, crash: u64, ended: u64, parts: &[PartId]) {
        if self.scenario.design == Design::Nothing {
            return;
        }
        let now = Millis(self.now);
        let gateway = &mut self.gateways[at];
        let mut parts: Vec<PartId> = parts.to_vec();
        parts.retain(|part| !gateway.table.is_proven(now, *part));
        parts.sort_unstable();
        parts.dedup();
        let report = CrashReport {
            id: CrashId(crash),
            endpoint: format_compact!("i-{crash:010x}"),
            version: "1".into(),
            age: now.since(Millis(ended)),
            parts,
        };
        gateway.last_seen = Some(self.now);
        gateway.evidence.record_crash(now, &report);
        self.check(at, &report);
        self.tell(at, News::Crash(report));
        self.changed(at);
    }

    /// Says which parts of a crash were answered here.
    fn check(&mut self, at: usize, report: &CrashReport) {
        let gateway = &self.gateways[at];
        let is_known = |part: &PartId| {
            let answered = gateway.table.answered_at(*part);
            answered.is_some_and(|at| self.now - at.0 < report.age.0 + ANSWER_MEMORY)
        };
        let parts: Vec<PartId> = report.parts.iter().copied().filter(is_known).collect();
        if parts.is_empty() {
            return;
        }
        // Of many gateways a few answer at once, so that others need not.
        let drawn: f64 = self.rng.random();
        let steepness = (self.gateways.len() as f64).ln() + 1.0;
        let share = (1.0 + drawn * steepness.exp_m1()).ln() / steepness;
        let delay = match self.gateways.len() > 64 {
            true => (share * ANSWER_WINDOW as f64) as u64,
            false => 0,
        };
        self.schedule(delay, Event::Answered(at, parts));
    }

    pub(super) fn answered(&mut self, at: usize, parts: &[PartId]) {
        for part in parts {
            let gateway = &mut self.gateways[at];
            let told = gateway.told.get(part);
            if told.is_some_and(|told| self.now - told < 100) {
                continue;
            }
            let Some(answered) = gateway.table.answered_at(*part) else {
                continue;
            };
            gateway.told.insert(*part, self.now);
            let age = Millis(self.now - answered.0);
            let progress = PartProgress { part: *part, age };
            gateway.evidence.record_progress(Millis(self.now), progress);
            self.tell(at, News::Progress(progress));
        }
        self.changed(at);
    }

    /// An answer got under way at a gateway.
    pub(super) fn progressed(&mut self, at: usize, parts: &[PartId]) {
        let now = Millis(self.now);
        let gateway = &mut self.gateways[at];
        let watched = gateway.table.record_progress(now, parts);
        if watched.is_empty() {
            return;
        }
        for part in watched {
            let age = Millis::ZERO;
            let progress = PartProgress { part, age };
            let gateway = &mut self.gateways[at];
            if gateway.evidence.record_progress(now, progress) {
                gateway.told.insert(part, self.now);
                self.tell(at, News::Progress(progress));
            }
        }
        self.changed(at);
    }

    fn tell(&mut self, at: usize, news: News) {
        if self.is_alone() {
            return;
        }
        let gateway = &mut self.gateways[at];
        gateway.outbox.push(news);
        if !std::mem::replace(&mut gateway.is_flush_due, true) {
            let delay = (gateway.flushed + SEND_GAP).saturating_sub(self.now);
            self.schedule(delay, Event::Flush(at));
        }
    }

    pub(super) fn flush(&mut self, at: usize) {
        let gateway = &mut self.gateways[at];
        gateway.is_flush_due = false;
        gateway.flushed = self.now;
        let news = std::mem::take(&mut gateway.outbox);
        let (count, bytes) = size_of(&news);
        let (from_is_slow, news) = (gateway.is_slow, Arc::new(news));
        for to in self.recipients(at, &news) {
            let is_slow = from_is_slow || self.gateways[to].is_slow;
            let mut delay = match is_slow {
                true => self.rng.random_range(1..100),
                false => self.rng.random_range(1..4),
            };
            while self.rng.random_range(0..LOST_ONE_IN) == 0 {
                delay += REPEAT_DELAY;
            }
            let received = &mut self.gateways[to].received;
            let second = received.entry(self.now / 1_000).or_default();
            second.0 += count * SENDS;
            second.1 += bytes * SENDS;
            self.schedule(delay, Event::Received(to, news.clone()));
        }
    }

    /// All others, or those that keep the evidence of the parts.
    fn recipients(&self, from: usize, news: &[News]) -> Vec<usize> {
        let count = self.gateways.len();
        let is_for_all = |n: &News| matches!(n, News::Block(_));
        let mut to: Vec<usize> = match self.scenario.design {
            Design::Keepers if !news.iter().any(is_for_all) => {
                let parts = news.iter().flat_map(|n| match n {
                    News::Crash(report) => report.parts.clone(),
                    News::Progress(progress) => vec![progress.part],
                    News::Block(block) => vec![block.part],
                });
                parts.flat_map(|part| keepers(part, count)).collect()
            }
            _ => (0..count).collect(),
        };
        to.sort_unstable();
        to.dedup();
        to.retain(|to| *to != from);
        to
    }

    pub(super) fn receive(&mut self, at: usize, news: &[News]) {
        let now = Millis(self.now);
        for one in news {
            match one {
                News::Crash(report) => {
                    if self.gateways[at].evidence.record_crash(now, report) {
                        self.check(at, report);
                    }
                }
                News::Progress(progress) => {
                    let gateway = &mut self.gateways[at];
                    gateway.told.insert(progress.part, self.now);
                    gateway.evidence.record_progress(now, *progress);
                }
                News::Block(block) => {
                    self.gateways[at].evidence.merge_block(now, block);
                }
            }
        }
        self.changed(at);
    }

    fn changed(&mut self, at: usize) {
        let gateway = &mut self.gateways[at];
        if !std::mem::replace(&mut gateway.is_publication_due, true) {
            let delay = gateway.next_publication.saturating_sub(self.now);
            self.schedule(delay, Event::Publish(at));
        }
        let gateway = &mut self.gateways[at];
        if !std::mem::replace(&mut gateway.is_decision_due, true) {
            let is_keeper = self.scenario.design == Design::Keepers;
            let is_witness = is_keeper || gateway.last_seen.is_some_and(|t| self.now - t < 10_000);
            let delay = if is_witness { 1 } else { SECONDHAND_DELAY };
            self.schedule(delay, Event::Decide(at));
        }
    }

    /// Publishes the lists, so that a burst of messages costs a few publications only.
    pub(super) fn publish(&mut self, at: usize) {
        let gateway = &mut self.gateways[at];
        gateway.is_publication_due = false;
        gateway.next_publication = self.now + PUBLISH_INTERVAL;
        gateway.publish(self.now, &mut self.outcome);
    }

    pub(super) fn decide(&mut self, at: usize) {
        let gateway = &mut self.gateways[at];
        gateway.is_decision_due = false;
        let mut blocks = gateway.evidence.decide(Millis(self.now));
        let count = self.gateways.len();
        if self.scenario.design == Design::Keepers {
            blocks.retain(|b| keepers(b.part, count).contains(&at));
        }
        for block in blocks {
            if block.part == CRASHING {
                let first = self.outcome.crashes_until_blocked;
                self.outcome.crashes_until_blocked = first.or(Some(self.outcome.ended_by_part));
            }
            self.tell(at, News::Block(block));
        }
        let gateway = &mut self.gateways[at];
        gateway.publish(self.now, &mut self.outcome);
        // Reports settle, so the evidence is looked at again.
        if !gateway.evidence.is_empty()
            && gateway.last_seen.is_some_and(|t| self.now - t < 200)
            && !std::mem::replace(&mut gateway.is_decision_due, true)
        {
            self.schedule(20, Event::Decide(at));
        }
    }

    /// What is left when the run is over.
    pub(super) fn close(mut self) -> Outcome {
        for gateway in &self.gateways {
            for (part, since) in &gateway.blocked_since {
                if *part != CRASHING {
                    self.outcome.note_unblocked(*part, self.now - since);
                }
            }
            let peak = gateway.received.values().copied();
            let (messages, bytes) = peak.max().unwrap_or_default();
            let outcome = &mut self.outcome;
            outcome.peak_messages = outcome.peak_messages.max(messages);
            outcome.peak_bytes = outcome.peak_bytes.max(bytes);
        }
        self.outcome
    }
}

/// The gateways that keep the evidence of a part.
fn keepers(part: PartId, count: usize) -> Vec<usize> {
    let mut all: Vec<(u64, usize)> = (0..count)
        .map(|at| {
            (
                part.0
                    .wrapping_mul(0x9e37_79b9)
                    .wrapping_add(at as u64 * 0x85eb_ca6b)
                    ^ part.0 >> 7,
                at,
            )
        })
        .collect();
    all.sort_unstable();
    all.iter().take(KEEPERS).map(|(_, at)| *at).collect()
}

/// Datagrams and bytes.
fn size_of(news: &[News]) -> (u64, u64) {
    let (mut crashes, mut progress, mut blocks) = (Vec::new(), Vec::new(), Vec::new());
    for one in news {
        match one {
            News::Crash(report) => crashes.push(report.clone()),
            News::Progress(one) => progress.push(*one),
            News::Block(block) => blocks.push(block.clone()),
        }
    }
    let crashes = split_rows(&crashes).into_iter().map(Message::Crashes);
    let progress = split_rows(&progress).into_iter().map(Message::PartProgress);
    let blocks = split_rows(&blocks).into_iter().map(Message::Blocks);
    let is_filled = |m: &Message| match m {
        Message::Crashes(rows) => !rows.is_empty(),
        Message::PartProgress(rows) => !rows.is_empty(),
        Message::Blocks(rows) => !rows.is_empty(),
        _ => false,
    };
    let messages = crashes.chain(progress).chain(blocks).filter(is_filled);
    let sizes = messages.map(|message| {
        let datagram = Datagram {
            from: "g000".into(),
            boot: 1 << 40,
            number: 1_000,
            message,
        };
        encode(&[0; 64], &datagram).map_or(0, |bytes| bytes.len() as u64)
    });
    sizes.fold((0, 0), |(count, bytes), size| (count + 1, bytes + size))
}
