//! Control reducers that exchange messages about parts over an emulated network, with
//! loss, delay, restarts and cut-off gateways.
#![allow(dead_code)] // Each test file uses some of it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng as _};
use rattanstall::clock::Millis;
use rattanstall::direct::control::{Control, Effect, Event, LocalUsage};
use rattanstall::direct::gossip::{
    Datagram, MAX_DATAGRAM_BYTES, Message, SECRET_BYTES, decode, encode,
};
use rattanstall::direct::members::Member;
use rattanstall::direct::part_table::PartLists;
use rattanstall::direct::suspects::{Block, CrashId, CrashReport, PartId, PartProgress};

use crate::fleet::{gateway, settings};

const TICK: Millis = Millis(50);
const USAGE: Millis = Millis(250);
/// Largest time that a datagram travels.
const MAX_TRAVEL: usize = 5;
/// The time that a call takes to the store.
const STORE_TRAVEL: Millis = Millis(4);
/// How long a gateway stays registered after it was cut off.
const LEASE: Millis = Millis(3_000);
/// How long ago an answer makes a gateway leave a part out of its reports.
const PROVEN: Millis = Millis(10_000);

pub struct Gateway {
    control: Control,
    boot: u64,
    number: u64,
    is_up: bool,
    is_cut_off: bool,
    /// When it is no longer registered.
    lapses_at: Option<Millis>,
    pub lists: PartLists,
    answered: BTreeMap<PartId, Millis>,
}

/// Datagrams about parts that were sent, one for each receiver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub crashes: u64,
    pub progress: u64,
    pub blocks: u64,
    pub bytes: u64,
}

pub struct PartFleet {
    rng: ChaCha8Rng,
    pub now: Millis,
    pub gateways: Vec<Gateway>,
    /// One datagram in this many is lost; none if zero.
    lost_one_in: usize,
    in_flight: BinaryHeap<Reverse<(Millis, u64, usize)>>,
    datagrams: BTreeMap<u64, Datagram>,
    sent: u64,
    pub counts: Counts,
    /// The same for messages to one gateway each.
    pub exchanged: Counts,
    crashes: u64,
    pub store: StandInStore,
}

/// The store with the record of blocks.
#[derive(Debug, Default)]
pub struct StandInStore {
    pub is_away: bool,
    revision: u64,
    /// The blocks, with their ages as of `written_at`.
    blocks: Vec<Block>,
    written_at: Millis,
    /// Calls on their way: arrival, writer, expected revision and blocks.
    calls: Vec<(Millis, usize, u64, Vec<Block>)>,
    /// Calls that arrived, and those that changed the record.
    pub attempts: u64,
    pub writes: u64,
}

impl StandInStore {
    /// The store comes back from an older copy.
    pub fn forget(&mut self) {
        *self = Self {
            revision: self.revision + 1,
            ..Self::default()
        };
    }
}

impl PartFleet {
    pub fn new(seed: u64, count: usize, lost_one_in: usize) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis(1_000),
            gateways: Vec::new(),
            lost_one_in,
            in_flight: BinaryHeap::new(),
            datagrams: BTreeMap::new(),
            sent: 0,
            counts: Counts::default(),
            exchanged: Counts::default(),
            crashes: 0,
            store: StandInStore::default(),
        };
        for at in 0..count {
            fleet.gateways.push(Gateway::new(at, 1));
        }
        for at in 0..count {
            fleet.reduce(at, Event::Members(fleet.members()));
            fleet.reduce(at, fleet.record());
        }
        fleet.run(Millis(600));
        fleet.counts = Counts::default();
        fleet.exchanged = Counts::default();
        fleet
    }

    pub fn draw(&mut self, limit: usize) -> usize {
        (self.rng.next_u64() % limit as u64) as usize
    }

    fn members(&self) -> Vec<Member> {
        let registered = self.gateways.iter().enumerate();
        let registered = registered.filter(|(_, g)| g.is_up && g.lapses_at.is_none());
        registered.map(|(at, g)| member(at, g.boot)).collect()
    }

    /// Passes an event to a gateway and carries out what follows.
    pub fn reduce(&mut self, at: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.gateways[at].control.reduce(self.now, event) {
                match effect {
                    Effect::Broadcast(message) => {
                        let members = self.gateways[at].control.members();
                        let to: Vec<SocketAddr> = members.iter().map(|m| m.address).collect();
                        self.send(at, &to, message, true);
                    }
                    Effect::Send(to, message) => self.send(at, &[to], message, false),
                    Effect::RecordBlocks { expected, blocks } => {
                        let arrives = self.now + STORE_TRAVEL;
                        self.store.calls.push((arrives, at, expected, blocks));
                    }
                    Effect::PublishParts(lists) => self.gateways[at].lists = lists,
                    Effect::CheckParts { parts, max_age } => {
                        let answered = self.answered(at, &parts, max_age);
                        if !answered.is_empty() {
                            events.push(Event::PartsChecked(answered));
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn answered(&self, at: usize, parts: &[PartId], max_age: Millis) -> Vec<PartProgress> {
        let known = parts.iter().filter_map(|part| {
            let age = self.now.since(*self.gateways[at].answered.get(part)?);
            (age <= max_age).then_some(PartProgress { part: *part, age })
        });
        known.collect()
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], message: Message, is_broadcast: bool) {
        let sender = &mut self.gateways[from];
        sender.number += 1;
        let datagram = Datagram {
            from: gateway(from),
            boot: sender.boot,
            number: sender.number,
            message,
        };
        if datagram.message.is_urgent() {
            let size = check(&datagram);
            let counts = match is_broadcast {
                true => &mut self.counts,
                false => &mut self.exchanged,
            };
            counts.add(&datagram.message, size, to.len() as u64);
        }
        if self.gateways[from].is_cut_off || matches!(datagram.message, Message::Status { .. }) {
            return;
        }
        self.sent += 1;
        let mut is_sent = false;
        for to in to {
            let to = usize::from(to.port()) - 1_000;
            let is_lost = self.lost_one_in > 0 && self.draw(self.lost_one_in) == 0;
            if is_lost || self.gateways[to].is_cut_off || !self.gateways[to].is_up {
                continue;
            }
            let arrives = self.now + Millis(1 + self.draw(MAX_TRAVEL) as u64);
            self.in_flight.push(Reverse((arrives, self.sent, to)));
            is_sent = true;
        }
        if is_sent {
            self.datagrams.insert(self.sent, datagram);
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Millis(1);
            while let Some(Reverse((arrives, id, to))) = self.in_flight.peek().copied() {
                if arrives > self.now {
                    break;
                }
                self.in_flight.pop();
                let datagram = self.datagrams[&id].clone();
                if self.gateways[to].is_up && !self.gateways[to].is_cut_off {
                    self.reduce(to, Event::Datagram(datagram));
                }
            }
            if self.now.0.is_multiple_of(100) {
                let oldest = self.in_flight.iter().map(|r| r.0.1).min();
                self.datagrams = match oldest {
                    Some(oldest) => self.datagrams.split_off(&oldest),
                    None => BTreeMap::new(),
                };
            }
            self.answer_store_calls();
            self.tick();
        }
    }

    /// What the store answers to a reading.
    fn record(&self) -> Event {
        let elapsed = self.now.since(self.store.written_at);
        let blocks = self.store.blocks.iter().cloned();
        Event::BlocksRecorded {
            revision: self.store.revision,
            blocks: blocks
                .map(|b| Block {
                    since: b.since + elapsed,
                    ..b
                })
                .collect(),
        }
    }

    fn answer_store_calls(&mut self) {
        let now = self.now;
        let calls = std::mem::take(&mut self.store.calls);
        let (arrived, waiting) = calls.into_iter().partition(|call| call.0 <= now);
        self.store.calls = waiting;
        let arrived: Vec<(Millis, usize, u64, Vec<Block>)> = arrived;
        for (_, writer, expected, blocks) in arrived {
            if !self.gateways[writer].is_up {
                continue;
            }
            self.store.attempts += 1;
            if self.store.is_away || self.gateways[writer].is_cut_off {
                self.reduce(writer, Event::StoreLost);
                self.reduce(writer, Event::RecordFailed);
                continue;
            }
            if expected == self.store.revision {
                self.store.writes += 1;
                self.store.revision += 1;
                self.store.blocks = blocks;
                self.store.written_at = now;
                self.tell_others(writer, self.record());
            }
            self.reduce(writer, self.record());
        }
    }

    /// The store is reachable again, and all gateways read the record.
    pub fn bring_store_back(&mut self) {
        self.store.is_away = false;
        for at in 0..self.gateways.len() {
            if !self.gateways[at].is_up {
                continue;
            }
            self.reduce(at, Event::StoreAnswered);
            self.reduce(at, self.record());
        }
    }

    /// All gateways end at once and start again.
    pub fn restart_all(&mut self) {
        for at in 0..self.gateways.len() {
            self.kill(at);
        }
        self.in_flight.clear();
        self.run(Millis(500));
        for at in 0..self.gateways.len() {
            self.restart(at);
        }
    }

    fn tick(&mut self) {
        for at in 0..self.gateways.len() {
            // The ticks of the gateways do not coincide.
            let phase = Millis(self.now.0 + at as u64 * 7);
            if !self.gateways[at].is_up {
                continue;
            }
            if phase.0.is_multiple_of(TICK.0) {
                self.reduce(at, Event::Tick(Vec::new()));
            }
            if phase.0.is_multiple_of(USAGE.0) {
                self.reduce(at, Event::Usage(LocalUsage::default()));
            }
            if self.gateways[at].lapses_at.is_some_and(|t| t == self.now) {
                self.tell_others(at, Event::MemberRemoved(gateway(at)));
            }
        }
    }

    /// The store tells the gateways that it reaches of a change.
    fn tell_others(&mut self, about: usize, event: Event) {
        for at in (0..self.gateways.len()).filter(|at| *at != about) {
            if self.gateways[at].is_up && !self.gateways[at].is_cut_off {
                self.reduce(at, event.clone());
            }
        }
    }

    /// Cuts a gateway off from the others and from the store.
    pub fn cut_off(&mut self, at: usize) {
        self.gateways[at].is_cut_off = true;
        self.gateways[at].lapses_at = Some(self.now + LEASE);
    }

    /// Ends that.
    pub fn reconnect(&mut self, at: usize) {
        let gateway = &mut self.gateways[at];
        gateway.is_cut_off = false;
        gateway.lapses_at = None;
        let put = Event::MemberPut(member(at, gateway.boot));
        self.tell_others(at, put);
        self.reduce(at, Event::Members(self.members()));
        self.reduce(at, self.record());
    }

    /// A gateway ends without a word; its registration lapses later.
    pub fn kill(&mut self, at: usize) {
        self.gateways[at].is_up = false;
    }

    /// A gateway starts with an empty memory.
    pub fn restart(&mut self, at: usize) {
        let boot = self.gateways[at].boot + 1;
        self.gateways[at] = Gateway::new(at, boot);
        self.tell_others(at, Event::MemberPut(member(at, boot)));
        self.reduce(at, Event::Members(self.members()));
        if !self.store.is_away {
            self.reduce(at, self.record());
        }
    }

    /// An answer with a part gets under way at a gateway.
    pub fn answer(&mut self, at: usize, part: PartId) {
        let now = self.now;
        self.gateways[at].answered.insert(part, now);
        if self.gateways[at].lists.watched.binary_search(&part).is_ok() {
            let progress = PartProgress {
                part,
                age: Millis::ZERO,
            };
            self.reduce(at, Event::PartsProgressed(vec![progress]));
        }
    }

    /// An endpoint ends; each of these gateways has one request with these parts there.
    pub fn crash(&mut self, witnesses: &[(usize, Vec<PartId>)]) {
        self.crashes += 1;
        for (at, parts) in witnesses {
            let mut report = crash_report(self.crashes, parts);
            let answered = &self.gateways[*at].answered;
            report.parts.retain(|part| {
                let seen = answered.get(part);
                seen.is_none_or(|t| self.now.since(*t) >= PROVEN)
            });
            self.reduce(*at, Event::EndpointCrashed(report));
        }
    }

    /// The parts that a gateway refuses.
    pub fn blocked(&self, at: usize) -> &[PartId] {
        &self.gateways[at].lists.blocked
    }

    /// The gateways that run and do not refuse exactly these parts, with those that they
    /// refuse.
    pub fn differing(&self, blocked: &[PartId]) -> Vec<(usize, &[PartId])> {
        let running = self.gateways.iter().enumerate().filter(|(_, g)| g.is_up);
        let differing = running.filter(|(_, g)| g.lists.blocked != blocked);
        differing
            .map(|(at, g)| (at, &g.lists.blocked[..]))
            .collect()
    }
}

impl Gateway {
    /// Forgets which parts were answered here.
    pub fn forget_answers(&mut self) {
        self.answered.clear();
    }

    fn new(at: usize, boot: u64) -> Self {
        Self {
            control: Control::new(Arc::new(settings(at))),
            boot,
            number: 0,
            is_up: true,
            is_cut_off: false,
            lapses_at: None,
            lists: PartLists::default(),
            answered: BTreeMap::new(),
        }
    }
}

impl Counts {
    fn add(&mut self, message: &Message, size: usize, receivers: u64) {
        self.bytes += size as u64 * receivers;
        match message {
            Message::Crashes(_) => self.crashes += receivers,
            Message::PartProgress(_) => self.progress += receivers,
            Message::Blocks(_) => self.blocks += receivers,
            _ => {}
        }
    }
}

/// Encodes and decodes a datagram, and returns its size.
fn check(datagram: &Datagram) -> usize {
    let bytes = encode(&[7; SECRET_BYTES], datagram).expect("encoded");
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    let decoded = decode(&[7; SECRET_BYTES], &bytes).expect("decoded");
    assert_eq!(&decoded, datagram);
    bytes.len()
}

fn member(at: usize, boot: u64) -> Member {
    Member {
        boot,
        ..crate::fleet::member(at)
    }
}

/// A report of the end of the endpoint with this number.
pub fn crash_report(number: u64, parts: &[PartId]) -> CrashReport {
    let endpoint: CompactString = format_compact!("e-{number:04}");
    CrashReport {
        id: CrashId::of_run(&endpoint, number),
        endpoint,
        version: "v1".into(),
        age: Millis::ZERO,
        parts: parts.to_vec(),
    }
}
