//! A fleet of gateways that follow the registrations of endpoints, without network: the
//! store, the datagrams and the time are emulated.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::clock::Millis;
use rattanstall::direct::control::{Control, Effect, Event, LeaderRecord, LocalUsage, Pauses};
use rattanstall::direct::dialect::{EndpointState, Registration};
use rattanstall::direct::gossip::{Datagram, Message};
use rattanstall::direct::registry::RegistryChange;
use rattanstall::direct::view::Usability;

use crate::fleet::{gateway, member, settings};
use crate::registration::registration;

/// The shortest drain time that operators set.
pub const DRAIN_MS: u64 = 2_000;

const STEP_MS: u64 = 5;
const TICK_MS: u64 = 50;
/// Interval at which gateways broadcast, so that they hear each other.
const USAGE_MS: u64 = 1_000;
/// Interval at which an endpoint writes its registration, mostly without a change.
const REWRITE_MS: u64 = 1_200;
const ENDPOINTS: u64 = 40;
/// Port of the first gateway; see [`member`].
const FIRST_PORT: u16 = 1_000;
/// How long a gateway takes to notice that the store refuses it.
const NOTICE_MS: u64 = 300;

struct Gateway {
    control: Control,
    /// Datagrams sent.
    sent: u64,
    /// The revision up to which it has followed the store.
    followed: u64,
    next_watch: u64,
    refused_at: Option<u64>,
    is_silent: bool,
}

pub struct RelayFleet {
    gateways: Vec<Gateway>,
    now: u64,
    /// The store's log, from revision 1 on.
    log: Vec<RegistryChange>,
    in_flight: BTreeMap<(u64, u64), (usize, Datagram)>,
    datagrams: u64,
    loss: f64,
    are_endpoints_silent: bool,
    rng: ChaCha8Rng,
    /// Watches that returned, by second.
    watches: BTreeMap<u64, u64>,
    /// Datagrams that one gateway sent about registrations, by gateway and second.
    relayed: BTreeMap<(usize, u64), u64>,
}

impl RelayFleet {
    /// A fleet in which gateway 0 leads and all have read the store at time 0.
    pub fn new(gateways: usize, loss: f64, seed: u64) -> Self {
        let endpoints = (0..ENDPOINTS).map(|at| registration(&endpoint(at), 1, &["m"]));
        let all: Vec<Registration> = endpoints.collect();
        let revision = all.len() as u64;
        let gateways = (0..gateways).map(|number| {
            let mut settings = settings(number);
            settings.bounds.drain = Millis(DRAIN_MS);
            let mut control = Control::new(Arc::new(settings));
            let members = (0..gateways).filter(|n| *n != number).map(member);
            for event in [
                Event::Registrations(all.clone()),
                Event::RegistryRead {
                    revision,
                    is_full_list: true,
                },
                Event::Members(members.collect()),
                Event::LeaderKey(Some(LeaderRecord {
                    holder: gateway(0),
                    revision: 1,
                })),
                Event::LeaseHeld(Millis(u64::MAX)),
            ] {
                control.reduce(Millis::ZERO, event);
            }
            if number == 0 {
                let claimed = Event::LeadershipClaimed {
                    fence: 1,
                    is_succession: false,
                };
                control.reduce(Millis::ZERO, claimed);
            }
            Gateway {
                control,
                sent: 0,
                followed: revision,
                next_watch: 0,
                refused_at: None,
                is_silent: false,
            }
        });
        Self {
            gateways: gateways.collect(),
            now: 0,
            log: all.into_iter().map(RegistryChange::Put).collect(),
            in_flight: BTreeMap::new(),
            datagrams: 0,
            loss,
            are_endpoints_silent: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            watches: BTreeMap::new(),
            relayed: BTreeMap::new(),
        }
    }

    /// The store refuses a gateway from now on.
    pub fn refuse(&mut self, number: usize) {
        self.gateways[number].refused_at = Some(self.now);
    }

    /// A gateway neither receives nor does anything from now on.
    pub fn silence(&mut self, number: usize) {
        self.gateways[number].is_silent = true;
    }

    /// The endpoints don't write their registrations again from now on.
    pub fn silence_endpoints(&mut self) {
        self.are_endpoints_silent = true;
    }

    /// An endpoint registers that it leaves.
    pub fn drain(&mut self, number: u64) {
        let leaving = Registration {
            state: EndpointState::Draining,
            ..registration(&endpoint(number), 1, &["m"])
        };
        self.log.push(RegistryChange::Put(leaving));
    }

    /// The registration of an endpoint is removed.
    pub fn remove(&mut self, number: u64) {
        self.log.push(RegistryChange::Removed(endpoint(number)));
    }

    /// Gateways that would send a request to an endpoint if no other could serve it.
    pub fn users(&mut self, number: u64) -> Vec<usize> {
        let (now, id) = (Millis(self.now), endpoint(number));
        let gateways = self.gateways.iter_mut().enumerate();
        let users = gateways.filter_map(|(at, gateway)| {
            let view = gateway.control.view(now);
            let is_listed = view.endpoints.iter().any(|e| e.registration.id == id);
            (is_listed && !gateway.is_silent).then_some(at)
        });
        users.collect()
    }

    /// Gateways that would still send requests to an endpoint.
    pub fn unaware(&mut self, number: u64) -> Vec<usize> {
        let (now, id) = (Millis(self.now), endpoint(number));
        let gateways = self.gateways.iter_mut().enumerate();
        let unaware = gateways.filter_map(|(at, gateway)| {
            let view = gateway.control.view(now);
            let found = view.endpoints.iter().find(|e| e.registration.id == id);
            let is_open = found.is_some_and(|e| e.usability == Usability::Open);
            (is_open && !gateway.is_silent).then_some(at)
        });
        unaware.collect()
    }

    /// The time.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// The pauses of a gateway between its calls of the store.
    pub fn pauses(&self, number: usize) -> Pauses {
        self.gateways[number].control.pauses()
    }

    /// The most watches that returned within a second, all gateways together.
    pub fn peak_watches(&self, from_second: u64) -> u64 {
        let calm = self.watches.range(from_second..);
        calm.map(|(_, watches)| *watches).max().unwrap_or(0)
    }

    /// The most datagrams about registrations that one gateway sent within a second.
    pub fn peak_relayed(&self, from_second: u64) -> u64 {
        let calm = self.relayed.iter().filter(|((_, s), _)| *s >= from_second);
        calm.map(|(_, sent)| *sent).max().unwrap_or(0)
    }

    pub fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP_MS;
            self.rewrite();
            self.deliver();
            for at in 0..self.gateways.len() {
                if !self.gateways[at].is_silent {
                    self.follow(at);
                    self.tick(at);
                }
            }
        }
    }

    /// Endpoints write their registrations again.
    fn rewrite(&mut self) {
        if self.are_endpoints_silent {
            return;
        }
        for number in 0..ENDPOINTS {
            let phase = number * REWRITE_MS / ENDPOINTS / STEP_MS * STEP_MS;
            if self.now % REWRITE_MS == phase {
                let id = endpoint(number);
                let last = self.log.iter().rev().find(|c| *c.id() == id).cloned();
                self.log
                    .extend(last.filter(|c| matches!(c, RegistryChange::Put(_))));
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, datagram) = entry.remove();
            if !self.gateways[to].is_silent {
                self.reduce(to, Event::Datagram(datagram));
            }
        }
    }

    /// Watches the store unless others tell what changes.
    fn follow(&mut self, at: usize) {
        let (now, gateway) = (self.now, &mut self.gateways[at]);
        if let Some(refused_at) = gateway.refused_at {
            if now - refused_at == NOTICE_MS {
                self.reduce(at, Event::StoreLost);
            }
            return;
        }
        let relayed = gateway.control.relay_progress();
        if let Some((revision, _)) = relayed.filter(|(_, until)| Millis(now) < *until)
            && revision >= gateway.followed
        {
            gateway.followed = revision;
            return;
        }
        let revision = self.log.len() as u64;
        if now < gateway.next_watch || gateway.followed == revision {
            return;
        }
        let news = self.log[gateway.followed as usize..].to_vec();
        gateway.followed = revision;
        gateway.next_watch = now + gateway.control.pauses().registry.0.max(STEP_MS);
        *self.watches.entry(now / 1_000).or_default() += 1;
        for change in news {
            let event = match change {
                RegistryChange::Put(registration) => Event::Registered(registration),
                RegistryChange::Removed(id) => Event::Deregistered(id),
            };
            self.reduce(at, event);
        }
        let read = Event::RegistryRead {
            revision,
            is_full_list: false,
        };
        self.reduce(at, read);
    }

    fn tick(&mut self, at: usize) {
        let phase = at as u64 * STEP_MS;
        if self.now % TICK_MS == phase % TICK_MS {
            self.reduce(at, Event::Tick(Vec::new()));
        }
        if self.now % USAGE_MS == phase % USAGE_MS {
            self.reduce(at, Event::Usage(LocalUsage::default()));
        }
    }

    fn reduce(&mut self, at: usize, event: Event) {
        let effects = self.gateways[at].control.reduce(Millis(self.now), event);
        for effect in effects {
            match effect {
                Effect::Broadcast(message) => {
                    let all = 0..self.gateways.len();
                    let others = all.filter(|to| *to != at).collect::<Vec<_>>();
                    self.send(at, &others, message);
                }
                Effect::Send(to, message) => {
                    self.send(at, &[usize::from(to.port() - FIRST_PORT)], message);
                }
                Effect::SendAll(to, message) => {
                    let to = to.iter().map(|to| usize::from(to.port() - FIRST_PORT));
                    self.send(at, &to.collect::<Vec<_>>(), message);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &[usize], message: Message) {
        self.gateways[from].sent += 1;
        let datagram = Datagram {
            from: gateway(from),
            boot: 1,
            number: self.gateways[from].sent,
            message,
        };
        if datagram.message.name().starts_with("peer_registry") {
            *self.relayed.entry((from, self.now / 1_000)).or_default() += to.len() as u64;
        }
        for to in to {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            self.datagrams += 1;
            let at = self.now + self.rng.random_range(1..=4);
            let key = (at, self.datagrams);
            self.in_flight.insert(key, (*to, datagram.clone()));
        }
    }
}

fn endpoint(number: u64) -> CompactString {
    format_compact!("e{number:03}")
}
