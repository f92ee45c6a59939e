//! A gateway's registration in a store that makes writes late, loses their answers and ends
//! leases, and what the gateway may decide meanwhile.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::clock::Millis;
use rattanstall::direct::membership::registration::{OwnRegistration, Seen, Write};

const SEEDS: u64 = 400;
const STEP: Millis = Millis(10);
const LEASE: Millis = Millis(3_000);
const RENEWAL_INTERVAL: Millis = Millis(750);
/// How long a gateway waits for an answer.
const CALL_TIMEOUT: Millis = Millis(1_200);
/// When the store has answered everything in time for a while.
const CALM_FROM: Millis = Millis(20_000);
const END: Millis = Millis(40_000);
/// The latest time of a late write after its call, and the end of all that it leads to: the
/// lease that it names ends, the gateway sees that, and writes again.
const SETTLED_FROM: Millis = Millis(CALM_FROM.0 + 6_000 + 3_000 + 2_500);

/// What is on its way to the gateway or the store.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Commit(Write),
    Written { lease: u64, revision: u64 },
    Conflicted { lease: u64, found: u64 },
    Failed(u64),
    Opened(u64),
    LeaseLost(u64),
    Seen(Seen),
}

/// A store with one key, and the gateway that registers there.
struct World {
    rng: ChaCha8Rng,
    now: Millis,
    registration: OwnRegistration,
    revision: u64,
    /// The key's revision and lease; 0 stands for another process's.
    key: Option<(u64, u64)>,
    /// The gateway's lease, and when each lease ends.
    lease: Option<u64>,
    leases: Vec<(u64, Millis)>,
    next_lease: u64,
    next_renewal: Millis,
    deliveries: Vec<(Millis, Delivery)>,
    /// The last change is seen after those before it.
    seen_until: Millis,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis::ZERO,
            registration: OwnRegistration::default(),
            revision: 100,
            key: None,
            lease: None,
            leases: Vec::new(),
            next_lease: 1,
            next_renewal: Millis::ZERO,
            deliveries: Vec::new(),
            seen_until: Millis::ZERO,
        }
    }

    fn is_calm(&self) -> bool {
        self.now >= CALM_FROM
    }

    fn chance(&mut self, percent: u32) -> bool {
        !self.is_calm() && self.rng.random_range(0..100) < percent
    }

    fn deliver_in(&mut self, delay: u64, delivery: Delivery) {
        self.deliveries.push((self.now + Millis(delay), delivery));
    }

    fn change_key(&mut self, key: Option<u64>) {
        self.revision += 1;
        self.key = key.map(|lease| (self.revision, lease));
        let seen = Seen {
            revision: self.revision,
            is_present: key.is_some(),
        };
        // In the order of the changes, but late.
        let delay = self.rng.random_range(1..500);
        self.seen_until = self.seen_until.max(self.now + Millis(delay));
        self.deliveries
            .push((self.seen_until, Delivery::Seen(seen)));
    }

    fn commit(&mut self, write: Write) -> Delivery {
        let lease = write.lease;
        let found = self.key.map_or(0, |(revision, _)| revision);
        if found != write.expected {
            return Delivery::Conflicted { lease, found };
        }
        if !self.leases.iter().any(|(id, _)| *id == lease) {
            return Delivery::Failed(lease);
        }
        self.change_key(Some(lease));
        Delivery::Written {
            lease,
            revision: self.revision,
        }
    }

    /// Sends a write: it is answered, or made without an answer, at once, late or never.
    fn send(&mut self, write: Write) {
        if !self.chance(60) {
            let answer = self.commit(write);
            let delay = self.rng.random_range(1..30);
            return self.deliver_in(delay, answer);
        }
        self.deliver_in(CALL_TIMEOUT.0, Delivery::Failed(write.lease));
        match self.rng.random_range(0..4) {
            0 => {}
            1 => drop(self.commit(write)),
            _ => {
                let delay = self.rng.random_range(100..6_000);
                self.deliver_in(delay, Delivery::Commit(write));
            }
        }
    }

    fn hold_lease(&mut self) {
        match self.lease {
            None => {
                let lease = self.next_lease;
                self.next_lease += 1;
                self.lease = Some(lease);
                self.leases.push((lease, self.now + LEASE));
                self.next_renewal = self.now + RENEWAL_INTERVAL;
                self.deliver_in(4, Delivery::Opened(lease));
            }
            Some(lease) if self.now >= self.next_renewal => {
                self.next_renewal = self.now + RENEWAL_INTERVAL;
                if self.chance(40) {
                    return;
                }
                let end = self.now + LEASE;
                match self.leases.iter_mut().find(|(id, _)| *id == lease) {
                    Some(held) => held.1 = end,
                    None => self.deliver_in(4, Delivery::LeaseLost(lease)),
                }
            }
            Some(_) => {}
        }
    }

    fn receive(&mut self, delivery: Delivery) {
        let now = self.now;
        match delivery {
            Delivery::Commit(write) => drop(self.commit(write)),
            Delivery::Written { lease, revision } => {
                self.registration.written(now, lease, revision);
            }
            Delivery::Conflicted { lease, found } => {
                self.registration.conflicted(now, lease, found)
            }
            Delivery::Failed(lease) => self.registration.failed(now, lease),
            Delivery::Opened(lease) => self.registration.lease_opened(now, lease),
            Delivery::LeaseLost(lease) if self.lease == Some(lease) => {
                self.lease = None;
                self.registration.lease_lost();
            }
            Delivery::LeaseLost(_) => {}
            Delivery::Seen(seen) => {
                self.registration.observe(now, seen);
            }
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let ended = |lease: u64, leases: &[(u64, Millis)]| {
            lease != 0 && !leases.iter().any(|(id, _)| *id == lease)
        };
        self.leases.retain(|(_, end)| *end > now);
        if self
            .key
            .is_some_and(|(_, lease)| ended(lease, &self.leases))
        {
            self.change_key(None);
        }
        if self.rng.random_range(0..400) == 0 && !self.is_calm() {
            // Another process removes or writes the key.
            let key = (self.rng.random_range(0..2) == 0).then_some(0);
            self.change_key(key);
        }
        let due = std::mem::take(&mut self.deliveries);
        let (due, later) = due.into_iter().partition(|(at, _)| *at <= now);
        self.deliveries.extend::<Vec<_>>(later);
        let mut due: Vec<(Millis, Delivery)> = due;
        due.sort_by_key(|(at, _)| *at);
        due.into_iter()
            .for_each(|(_, delivery)| self.receive(delivery));
        self.hold_lease();
        if let Some(write) = self.registration.take_write(now) {
            self.send(write);
        }
        self.now = now + STEP;
    }

    fn stands(&self) -> bool {
        self.lease.is_some() && self.key.map(|(_, lease)| lease) == self.lease
    }
}

// Guards against a registration that hangs on a lease which nobody renews, or is gone, for as
// long as the gateway runs: after late writes in any order.
#[test]
fn a_registration_stands_under_the_held_lease_once_the_store_is_calm() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        while world.now < END {
            world.step();
            if world.now > SETTLED_FROM {
                assert!(
                    world.stands(),
                    "seed {seed}, {:?}: {:?}",
                    world.now,
                    world.key
                );
                let since = world.registration.stands_since();
                assert!(since.is_some(), "seed {seed}, {:?}", world.now);
                assert!(
                    !world.registration.is_lost(),
                    "seed {seed}, {:?}",
                    world.now
                );
            }
        }
    }
}

// Guards against a gateway that takes its registration for valid though the store has shown
// that it is not.
#[test]
fn a_registration_counts_as_lost_from_the_moment_the_store_shows_it() {
    let mut registration = OwnRegistration::default();
    registration.lease_opened(Millis(0), 7);
    let write = registration.take_write(Millis(0)).expect("a write");
    assert_eq!((write.lease, write.expected), (7, 0));
    assert_eq!(registration.written(Millis(5), 7, 40), None);
    // A slow list is older than the write.
    let seen = |revision, is_present| Seen {
        revision,
        is_present,
    };
    assert_eq!(registration.observe(Millis(10), seen(39, false)), None);
    assert_eq!(registration.observe(Millis(10), seen(40, true)), None);
    assert!(!registration.is_lost());
    assert!(
        registration
            .observe(Millis(3_000), seen(52, false))
            .is_some()
    );
    assert!(registration.is_lost());
    let write = registration.take_write(Millis(3_000)).expect("a write");
    assert_eq!((write.lease, write.expected), (7, 0));
    assert_eq!(registration.written(Millis(3_005), 7, 53), None);
    assert!(!registration.is_lost());
}

// Guards against a registration that was replaced before the answer to its write came.
#[test]
fn a_change_that_is_seen_before_the_answer_to_a_write_is_not_forgotten() {
    let mut registration = OwnRegistration::default();
    registration.lease_opened(Millis(0), 7);
    registration.take_write(Millis(0)).expect("a write");
    let replaced = Seen {
        revision: 41,
        is_present: true,
    };
    registration.observe(Millis(3), replaced);
    assert!(registration.written(Millis(5), 7, 40).is_some());
    assert!(registration.is_lost());
    let write = registration.take_write(Millis(1_005)).expect("a write");
    assert_eq!((write.lease, write.expected), (7, 41));
}
