//! Emulates the ways to keep the rate that an endpoint takes from all gateways together, in
//! virtual time and without network. Decisions, grants, shares, buckets and messages are
//! the gateways' own.

mod owner;
mod shares;
mod split;

use std::collections::BTreeMap;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::clock::Millis;
use rattanstall::direct::gossip::{Datagram, Message, encode};
use rattanstall::direct::notices::RunId;
use rattanstall::direct::rate_owner::RequestRate;

/// The endpoint.
const RUN: RunId = RunId(0x5eed);
/// The span over which the endpoint counts, in milliseconds.
const SPAN: u64 = 4_000;
/// When the limit binds, in milliseconds after it was first named.
const BINDS_AFTER: u64 = 3_000;
/// The longest wait of a request for its turn, in milliseconds.
const MAX_WAIT: u64 = 100;
/// One datagram in this many is lost.
const LOST_ONE_IN: u32 = 100;
/// Time from one gateway to another: a millisecond or two, and up to this while it is busy.
const MAX_DELAY: u64 = 12;
/// After this time a gateway that is not heard counts as gone.
const SILENT_AFTER: u64 = 1_500;
/// A gateway stands still from and to these times, in milliseconds.
const FROZEN: (u64, u64) = (8_000, 11_000);

/// How the rate is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// Each gateway has an even share.
    Split,
    /// Shares by demand, and loans between gateways, as for workspaces.
    Shares,
    /// One gateway grants the requests of all.
    Owner,
}

/// Which gateways have callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Callers {
    /// All, alike.
    Everywhere,
    /// One gateway only.
    AtOne,
}

/// One run of the emulator.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// How the rate is kept.
    pub design: Design,
    /// The number of gateways.
    pub gateways: usize,
    /// The limit in requests a second.
    pub per_s: f64,
    /// Where the callers are. They want twice the limit.
    pub callers: Callers,
    /// Whether the gateway that grants, or the first one, stands still for a while.
    pub has_freeze: bool,
    /// Virtual time in seconds.
    pub seconds: u64,
    /// Seed of all choices.
    pub seed: u64,
}

/// What one run has shown.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The most requests in any 4 s from when the limit binds.
    pub worst_span: usize,
    /// Requests in percent of the limit, from then on.
    pub used_percent: f64,
    /// Datagrams that the busiest gateway sent and received in a second, on average.
    pub datagrams_per_s: f64,
    /// Their bytes.
    pub bytes_per_s: f64,
}

/// A message that is on its way, or a thing that a design makes of one.
#[derive(Clone, Debug)]
struct Delivery {
    from: usize,
    to: usize,
    message: Message,
}

/// A request that waits at a gateway.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    arrived_at: u64,
    /// What the design notes of it.
    mark: u64,
}

/// What becomes of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    Sent,
    Waits,
    Refused,
}

/// Time, messages and counts that all designs share.
struct World {
    scenario: Scenario,
    now: u64,
    random: ChaCha8Rng,
    in_flight: BTreeMap<u64, Vec<Delivery>>,
    frozen: Option<usize>,
    datagrams: Vec<u64>,
    bytes: Vec<u64>,
}

impl World {
    fn now(&self) -> Millis {
        Millis(self.now)
    }

    fn rate(&self) -> RequestRate {
        RequestRate((self.scenario.per_s * 1_000.0) as u32)
    }

    fn is_frozen(&self, gateway: usize) -> bool {
        self.frozen == Some(gateway) && (FROZEN.0..FROZEN.1).contains(&self.now)
    }

    /// Whether the others take a gateway for gone.
    fn is_gone(&self, gateway: usize) -> bool {
        let silent = FROZEN.0 + SILENT_AFTER..FROZEN.1;
        self.frozen == Some(gateway) && silent.contains(&self.now)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let datagram = Datagram {
            from: format!("gateway-{from:03}").into(),
            boot: u64::MAX / 2,
            number: self.now,
            message: message.clone(),
        };
        let size = encode(&[0; 64], &datagram).map_or(0, |bytes| bytes.len()) as u64;
        for gateway in [from, to] {
            self.datagrams[gateway] += 1;
            self.bytes[gateway] += size;
        }
        if self.random.random_range(0..LOST_ONE_IN) == 0 {
            return;
        }
        let delay = match self.random.random_range(0..20) {
            0 => self.random.random_range(3..=MAX_DELAY),
            _ => self.random.random_range(1..=2),
        };
        let delivery = Delivery { from, to, message };
        let at = self.in_flight.entry(self.now + delay).or_default();
        at.push(delivery);
    }

    /// The messages that arrive now; those for a gateway that stands still arrive later.
    fn take_due(&mut self) -> Vec<Delivery> {
        let due = self.in_flight.remove(&self.now).unwrap_or_default();
        let (late, due): (Vec<Delivery>, Vec<Delivery>) =
            due.into_iter().partition(|d| self.is_frozen(d.to));
        if !late.is_empty() {
            self.in_flight.entry(FROZEN.1).or_default().extend(late);
        }
        due
    }
}

/// A way to keep the rate.
trait Keeper {
    /// Runs what is due in each millisecond.
    fn tick(&mut self, world: &mut World);
    /// Handles a message.
    fn receive(&mut self, world: &mut World, delivery: Delivery);
    /// Decides on a request that waits.
    fn serve(&mut self, world: &mut World, gateway: usize, req: &mut Waiting) -> Turn;
}

/// Plays a scenario.
pub fn play(scenario: Scenario) -> Outcome {
    let gateways = scenario.gateways;
    let mut world = World {
        scenario,
        now: 0,
        random: ChaCha8Rng::seed_from_u64(scenario.seed),
        in_flight: BTreeMap::new(),
        frozen: None,
        datagrams: vec![0; gateways],
        bytes: vec![0; gateways],
    };
    if scenario.has_freeze {
        world.frozen = Some(owner::owner_among(gateways, |_| false));
    }
    let mut keeper: Box<dyn Keeper> = match scenario.design {
        Design::Split => Box::new(split::Split::new(&world)),
        Design::Shares => Box::new(shares::DividedLimit::new(&world)),
        Design::Owner => Box::new(owner::OwnedLimit::new(&world)),
    };
    let mut waiting: Vec<(usize, Waiting)> = Vec::new();
    let mut arrivals = Vec::new();
    while world.now < scenario.seconds * 1_000 {
        world.now += 1;
        keeper.tick(&mut world);
        for delivery in world.take_due() {
            keeper.receive(&mut world, delivery);
        }
        let wanted = (scenario.per_s * 2.0).max(2.0) / 1_000.0;
        if world.random.random_range(0.0..1.0) < wanted {
            let gateway = match scenario.callers {
                Callers::Everywhere => world.random.random_range(0..gateways),
                Callers::AtOne => gateways / 2,
            };
            let arrived_at = world.now;
            let mark = u64::MAX;
            waiting.push((gateway, Waiting { arrived_at, mark }));
        }
        let mut still = Vec::new();
        for (gateway, mut req) in waiting {
            let turn = match world.is_frozen(gateway) {
                true => Turn::Waits,
                false => keeper.serve(&mut world, gateway, &mut req),
            };
            match turn {
                Turn::Sent => arrivals.push(world.now + world.random.random_range(1..=5)),
                Turn::Waits => still.push((gateway, req)),
                Turn::Refused => {}
            }
        }
        waiting = still;
    }
    summarise(&world, arrivals)
}

fn summarise(world: &World, mut arrivals: Vec<u64>) -> Outcome {
    arrivals.retain(|at| *at >= BINDS_AFTER);
    arrivals.sort_unstable();
    let spans = arrivals.iter().enumerate().map(|(n, begin)| {
        let within = arrivals[n..].iter();
        within.take_while(|at| **at < begin + SPAN).count()
    });
    let seconds = world.scenario.seconds as f64;
    let most = |counts: &[u64]| counts.iter().max().copied().unwrap_or(0) as f64 / seconds;
    let span_s = seconds - BINDS_AFTER as f64 / 1_000.0;
    Outcome {
        worst_span: spans.max().unwrap_or(0),
        used_percent: arrivals.len() as f64 * 100.0 / (span_s * world.scenario.per_s),
        datagrams_per_s: most(&world.datagrams),
        bytes_per_s: most(&world.bytes),
    }
}
