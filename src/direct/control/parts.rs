//! Crashes of endpoints and blocked parts: what this gateway learns, tells the others
//! and publishes to the traffic thread.

mod exchange;
mod outbox;
mod start;
mod storage;
mod trials;

use compact_str::{CompactString, ToCompactString as _};

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::balance::rendezvous_weight;
use crate::direct::part_table::PartLists;
use crate::direct::suspects::{
    Block, BlockCause, BlockState, CrashReport, EVIDENCE_LIFETIME, Evidence, PartId, PartProgress,
};
use crate::journal;

use exchange::Exchange;
use outbox::Outbox;
use start::Start;
use storage::Storage;

/// Time between two publications, so that a burst of messages costs a few only.
const PUBLISH_INTERVAL: Millis = Millis(10);
/// How long a gateway that saw none of the latest crashes waits for more evidence
/// before it decides. Those that saw one decide at once and tell the others, so this
/// matters only if these are lost.
const SECONDHAND_DELAY: Millis = Millis(600);
/// The longest such wait while crashes go on.
const MAX_SECONDHAND_DELAY: Millis = Millis(800);
/// How long a crash that a gateway saw itself counts as one of the latest.
const WITNESS_TIME: Millis = Millis(10_000);
/// Interval at which old evidence is dropped.
const EXPIRY_INTERVAL: Millis = Millis(5_000);
/// How long before a crash an answer is worth telling.
const PROOF_AGE: Millis = Millis(60_000);
/// Progress is news if it is newer than what is known by more than this.
const PROGRESS_TOLERANCE: Millis = Millis(1_000);
/// How long the gateways do not say again that a part was answered, when more crashes
/// with it are reported.
const ANSWER_PAUSE: Millis = Millis(100);
/// The most parts of which it is remembered when a gateway said so.
const MAX_TOLD_PARTS: usize = 4_096;
/// Number of gateways above which those that saw a part answered wait before they say
/// so, until one of the others has.
const MAX_PROMPT_ANSWERS: usize = 64;
/// How long they wait at most. Crashes at about the same time are judged after 120 ms,
/// so the answers have to be there by then.
const ANSWER_WINDOW: Millis = Millis(30);
/// The most parts that are remembered from own reports.
const MAX_REPORTED_PARTS: usize = 4_096;
/// The most parts that a log line names.
const MAX_LOGGED_PARTS: usize = 16;

/// What this gateway knows of parts and crashes, and what it has still to tell.
#[derive(Clone, Debug, Default)]
pub(super) struct Parts {
    evidence: Evidence,
    lists: PartLists,
    outbox: Outbox,
    exchange: Exchange,
    storage: Storage,
    start: Start,
    /// Parts in the crashes that this gateway saw, and when, sorted by part.
    reported: Vec<(PartId, Millis)>,
    /// When this or another gateway last said that a part was answered, sorted by part.
    told: Vec<(PartId, Millis)>,
    /// Whether the evidence has changed since the lists were made.
    has_changed: bool,
    /// Whether it has changed since operators were last shown it.
    is_unshown: bool,
    next_publication: Millis,
    next_expiry: Millis,
    /// When this gateway last saw a crash itself.
    last_seen: Option<Millis>,
    /// When the first and the last crash since the last decision were recorded.
    undecided: Option<(Millis, Millis)>,
}

impl Parts {
    /// Adds a report of a crash. Returns whether it adds anything.
    fn record_crash(&mut self, now: Millis, report: &CrashReport) -> bool {
        if !self.evidence.record_crash(now, report) {
            return false;
        }
        self.has_changed = true;
        self.exchange.note_news(now);
        let (first, _) = self.undecided.unwrap_or((now, now));
        self.undecided = Some((first, now));
        true
    }

    fn note_reported(&mut self, now: Millis, parts: &[PartId]) {
        self.last_seen = Some(now);
        for part in parts {
            match self.reported.binary_search_by_key(part, |(p, _)| *p) {
                Ok(at) => self.reported[at].1 = now,
                Err(at) => self.reported.insert(at, (*part, now)),
            }
        }
        if self.reported.len() > MAX_REPORTED_PARTS {
            let mut times: Vec<Millis> = self.reported.iter().map(|(_, at)| *at).collect();
            let middle = times.len() / 2;
            let (_, bound, _) = times.select_nth_unstable(middle);
            let bound = *bound;
            self.reported.retain(|(_, at)| *at > bound);
        }
    }

    /// Whether the evidence is to be decided on now.
    fn is_decision_due(&self, now: Millis) -> bool {
        let is_witness = self
            .last_seen
            .is_some_and(|at| now.since(at) < WITNESS_TIME);
        let Some((first, last)) = self.undecided.filter(|_| !is_witness) else {
            return true;
        };
        now.since(last) >= SECONDHAND_DELAY || now.since(first) >= MAX_SECONDHAND_DELAY
    }

    fn has_reported(&self, part: PartId) -> bool {
        let found = self.reported.binary_search_by_key(&part, |(p, _)| *p);
        found.is_ok()
    }

    fn note_told(&mut self, now: Millis, part: PartId) {
        match self.told.binary_search_by_key(&part, |(p, _)| *p) {
            Ok(at) => self.told[at].1 = now,
            Err(at) if self.told.len() < MAX_TOLD_PARTS => self.told.insert(at, (part, now)),
            Err(_) => {}
        }
    }

    fn was_told_lately(&self, now: Millis, part: PartId) -> bool {
        let found = self.told.binary_search_by_key(&part, |(p, _)| *p);
        found.is_ok_and(|at| now.since(self.told[at].1) < ANSWER_PAUSE)
    }

    /// Whether progress is newer than what is known by more than the tolerance.
    fn is_news(&self, now: Millis, progress: PartProgress) -> bool {
        let known = self.evidence.progress_age(now, progress.part);
        known.is_none_or(|age| age > progress.age + PROGRESS_TOLERANCE)
    }

    /// Drops what no longer counts.
    fn expire(&mut self, now: Millis) {
        self.next_expiry = now + EXPIRY_INTERVAL;
        self.evidence.expire(now);
        self.told.retain(|(_, at)| now.since(*at) < ANSWER_PAUSE);
        self.reported
            .retain(|(_, at)| now.since(*at) < EVIDENCE_LIFETIME);
        self.has_changed = true;
    }
}

impl Control {
    /// This gateway saw an endpoint end.
    pub(super) fn endpoint_crashed(
        &mut self,
        now: Millis,
        report: CrashReport,
        out: &mut Vec<Effect>,
    ) {
        if !self.parts.record_crash(now, &report) {
            return;
        }
        self.parts.note_reported(now, &report.parts);
        log_crash(&report, &self.settings.name);
        check_parts(&report.parts, report.age, out);
        self.parts.outbox.push_crash(now, report);
    }

    /// Another gateway saw endpoints end.
    pub(super) fn crashes_told(
        &mut self,
        now: Millis,
        from: &str,
        reports: Vec<CrashReport>,
        out: &mut Vec<Effect>,
    ) {
        for report in reports {
            if self.parts.record_crash(now, &report) {
                log_crash(&report, from);
                check_parts(&report.parts, report.age, out);
            }
        }
    }

    /// Answers with watched parts got under way here.
    pub(super) fn parts_progressed(&mut self, now: Millis, progress: Vec<PartProgress>) {
        for progress in progress {
            let is_news = self.parts.is_news(now, progress);
            if !self.parts.evidence.record_progress(now, progress) {
                continue;
            }
            self.parts.has_changed = true;
            self.note_own_lift(progress.part);
            if is_news || self.clears(progress.part) {
                self.parts.outbox.push_progress(now, Millis::ZERO, progress);
            }
        }
    }

    /// Notes that this gateway's own progress lifted a block, if it did.
    fn note_own_lift(&mut self, part: PartId) {
        let was_blocked = self.parts.lists.blocked.binary_search(&part).is_ok();
        if was_blocked && self.parts.evidence.blocked().binary_search(&part).is_err() {
            self.parts.storage.note_own_change();
        }
    }

    /// Whether a part that the traffic thread watches is no longer suspect.
    fn clears(&self, part: PartId) -> bool {
        let was_watched = self.parts.lists.watched.binary_search(&part).is_ok();
        was_watched && self.parts.evidence.watched().binary_search(&part).is_err()
    }

    /// These parts of crashes were answered here.
    pub(super) fn parts_checked(&mut self, now: Millis, answered: Vec<PartProgress>) {
        for progress in answered {
            let is_news = self.parts.is_news(now, progress);
            self.parts.has_changed |= self.parts.evidence.record_progress(now, progress);
            self.note_own_lift(progress.part);
            if is_news || !self.parts.was_told_lately(now, progress.part) {
                self.parts.note_told(now, progress.part);
                let delay = self.answer_delay(progress.part);
                self.parts.outbox.push_progress(now, delay, progress);
            }
        }
    }

    /// How long to wait before others are told of a part that was answered here. In a
    /// large fleet most gateways wait long and a few do not, so that the first ones
    /// are heard before the others say the same.
    fn answer_delay(&self, part: PartId) -> Millis {
        let gateways = self.members.count();
        if gateways <= MAX_PROMPT_ANSWERS {
            return Millis::ZERO;
        }
        let drawn = rendezvous_weight(part.0, &self.settings.name) as f64 / u64::MAX as f64;
        let steepness = (gateways as f64).ln() + 1.0;
        let share = (1.0 + drawn * steepness.exp_m1()).ln() / steepness;
        Millis((share * ANSWER_WINDOW.0 as f64) as u64)
    }

    /// Another gateway saw parts answered.
    pub(super) fn progress_told(&mut self, now: Millis, told: Vec<PartProgress>) {
        for progress in told {
            self.parts.note_told(now, progress.part);
            let outbox = &mut self.parts.outbox;
            outbox.suppress(now, progress, PROGRESS_TOLERANCE);
            self.parts.has_changed |= self.parts.evidence.record_progress(now, progress);
        }
    }

    /// Another gateway has blocked parts or lifted blocks.
    pub(super) fn blocks_told(&mut self, now: Millis, blocks: Vec<Block>, out: &mut Vec<Effect>) {
        for block in blocks {
            if !self.parts.evidence.merge_block(now, &block) {
                continue;
            }
            self.parts.has_changed = true;
            if matches!(block.cause, BlockCause::Crashes(_)) {
                check_parts(&[block.part], block.since, out);
            }
        }
    }

    /// An operator blocks a part or lifts its block.
    pub(super) fn order_block(&mut self, now: Millis, part: PartId, state: BlockState) {
        if state == BlockState::Blocked {
            for lifted in self.parts.evidence.lift_tied(now, part) {
                self.parts.outbox.push_block(now, lifted);
            }
        }
        let block = self.parts.evidence.set_by_operator(now, part, state);
        self.parts.has_changed = true;
        self.parts.outbox.push_block(now, block);
        self.parts.storage.note_own_change();
    }

    /// Decides on the evidence if it has changed, publishes what follows from it and
    /// sends what is due. Called after each event.
    pub(super) fn settle_parts(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.parts.has_changed && now >= self.parts.next_publication {
            self.decide_on_parts(now, out);
        }
        self.settle_start(now, out);
        let messages = self.parts.outbox.take_due(now, self.members.count() - 1);
        out.extend(messages.into_iter().map(Effect::Broadcast));
    }

    /// The periodic part of the work.
    pub(super) fn tick_parts(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now >= self.parts.next_expiry {
            self.parts.expire(now);
        }
        self.decide_on_parts(now, out);
        self.grant_trials(now, out);
        self.report_back(now, out);
        self.exchange_parts(now, out);
        self.record_blocks(now, out);
        if std::mem::take(&mut self.parts.is_unshown) {
            out.push(Effect::ShowParts(self.parts.evidence.snapshot(now)));
        }
    }

    fn decide_on_parts(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.parts.is_decision_due(now) {
            self.parts.undecided = None;
            for block in self.parts.evidence.decide(now) {
                self.parts.has_changed = true;
                // All gateways decide alike; those that saw a crash tell the others.
                if self.parts.has_reported(block.part) {
                    self.parts.outbox.push_block(now, block);
                    self.parts.storage.note_own_change();
                }
            }
        }
        if std::mem::take(&mut self.parts.has_changed) {
            self.parts.next_publication = now + PUBLISH_INTERVAL;
            self.parts.storage.note_change();
            self.parts.is_unshown = true;
            self.publish_parts(now, out);
        }
    }

    fn publish_parts(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let evidence = &self.parts.evidence;
        let lists = PartLists {
            blocked: evidence.blocked(),
            ties: evidence.ties(),
            watched: evidence.watched(),
        };
        if lists == self.parts.lists {
            return;
        }
        let was = &self.parts.lists;
        if lists.blocked != was.blocked || lists.ties != was.ties {
            log_blocks(&self.parts.lists, &lists, &evidence.blocks(now));
        }
        self.parts.lists = lists.clone();
        self.parts.exchange.note_news(now);
        out.push(Effect::PublishParts(lists));
    }
}

/// Asks whether parts of a crash were answered here.
fn check_parts(parts: &[PartId], age: Millis, out: &mut Vec<Effect>) {
    if !parts.is_empty() {
        out.push(Effect::CheckParts {
            parts: parts.to_vec(),
            max_age: age + PROOF_AGE,
        });
    }
}

fn log_crash(report: &CrashReport, from: &str) {
    let parts = report.parts.iter().take(MAX_LOGGED_PARTS);
    let parts: Vec<CompactString> = parts.map(|part| part.to_compact_string()).collect();
    journal::write(
        "endpoint.crashed",
        &[
            ("endpoint", (&report.endpoint).into()),
            ("software", (&report.version).into()),
            ("parts", (&parts.join(", ")).into()),
            ("suspects", report.parts.len().into()),
            ("from", from.into()),
        ],
    );
}

/// Logs the parts that are blocked now and were not before, and the reverse.
fn log_blocks(before: &PartLists, after: &PartLists, blocks: &[Block]) {
    let find = |part: PartId| {
        let at = blocks.binary_search_by_key(&part, |b| b.part);
        at.ok().map(|at| &blocks[at])
    };
    let partners = |lists: &PartLists, part: PartId| {
        let tie = lists.ties.iter().find(|tie| tie.contains(&part));
        let others = tie.into_iter().flatten().filter(|p| **p != part);
        let others: Vec<CompactString> = others.map(|p| p.to_compact_string()).collect();
        others.join(", ")
    };
    let is_new = |part: &&PartId| {
        let was_blocked = before.blocked.binary_search(part).is_ok();
        !was_blocked || partners(before, **part) != partners(after, **part)
    };
    for block in after.blocked.iter().filter(is_new).filter_map(|p| find(*p)) {
        let endpoints = block.cause.endpoints();
        journal::write(
            "part.blocked",
            &[
                ("part", (&block.part.to_compact_string()).into()),
                ("with", (&partners(after, block.part)).into()),
                ("why", block.cause.name().into()),
                ("endpoints", (&endpoints.join(", ")).into()),
                ("crashes", endpoints.len().into()),
            ],
        );
    }
    let is_gone = |part: &&PartId| after.blocked.binary_search(part).is_err();
    for part in before.blocked.iter().filter(is_gone) {
        let lifted = find(*part).filter(|b| b.state == BlockState::Lifted);
        let why = lifted.map_or("expired", |b| b.cause.name());
        journal::write(
            "part.unblocked",
            &[
                ("part", (&part.to_compact_string()).into()),
                ("why", why.into()),
            ],
        );
    }
}
