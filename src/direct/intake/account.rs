//! The account of what callers' connections hold. Time and amounts go in, decisions come out.

use slotmap::{SlotMap, new_key_type};

use crate::clock::Millis;

new_key_type! {
    /// Identifies a caller's connection.
    pub struct HolderKey;
}

/// Memory of a process that holds nothing for callers: code, the view of the fleet, responses
/// that are held back (16 MB), connections to endpoints.
const BASE_BYTES: usize = 48 << 20;
/// The least that callers may hold, where the settings name very little memory.
const MIN_BYTES: usize = 8 << 20;
/// Memory of a connection without a request: its task with the room for a request, the read
/// buffer of 8 KiB and the socket.
pub const CONNECTION_BYTES: usize = 32 << 10;
/// Capacity of the kernel's buffer of received bytes that were not read.
pub const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Capacity of the kernel's buffer of bytes that were not sent.
pub const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Memory that one header field takes: its entry in two maps, the received and the forwarded.
pub const FIELD_BYTES: usize = 256;
/// A request that holds at most this much may use the share that is kept from larger ones.
const SMALL_BYTES: usize = 128 << 10;
/// A connection that moves fewer bytes in a second makes no progress.
const MIN_BYTES_PER_S: u64 = 16 << 10;
/// How long a connection may move nothing before it counts as stalled. It covers a pause of
/// a caller and a loss in the network.
const GRACE: Millis = Millis(1_000);
/// How long a connection may wait for a request before it gives way to another. A caller
/// that connects sends at once, and one that reuses connections has others.
const IDLE_GRACE: Millis = Millis(3_000);
/// The longest time for which a connection that was fast counts as making progress.
const MAX_CREDIT: Millis = Millis(2_000);
/// The longest time that a connection which moved too little has to make up for.
const MAX_DEBT: Millis = Millis(2_000);
/// File descriptors that are kept from callers: endpoints, the store, peers and files.
const RESERVED_DESCRIPTORS: u32 = 1_000;
/// The fewest connections that callers may have.
const MIN_CONNECTIONS: usize = 64;

/// What all callers together may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes. Three quarters of the memory above the base, since freed memory is not all
    /// given back.
    pub bytes: usize,
    /// Connections.
    pub connections: usize,
}

impl Bounds {
    /// The bounds of a machine with this much memory, of which the process may open
    /// this many file descriptors.
    pub fn of(memory_bytes: usize, max_descriptors: u32) -> Self {
        let bytes = (memory_bytes.saturating_sub(BASE_BYTES) / 4 * 3).max(MIN_BYTES);
        let by_descriptors = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) as usize;
        // A quarter of the bytes is left for what the connections carry.
        let by_bytes = bytes / 4 * 3 / CONNECTION_BYTES;
        Self {
            bytes,
            connections: by_descriptors.min(by_bytes).max(MIN_CONNECTIONS),
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request has begun.
    Idle,
    /// A request head arrives.
    Head,
    /// A request body arrives.
    Body,
    /// The request was received whole; its response is prepared or sent.
    Running,
}

/// A connection that must give back what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The connection.
    pub holder: HolderKey,
    /// Whether its request can still be refused; otherwise the connection is closed.
    pub is_refusable: bool,
    /// What it was doing.
    pub phase: Phase,
}

/// Whether a connection may hold more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// Whether it may.
    pub is_granted: bool,
    /// Who gives way for it.
    pub evictions: Vec<Eviction>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    phase: Phase,
    since: Millis,
    bytes: usize,
    /// Until when it counts as making progress.
    moves_until: Millis,
    has_served: bool,
    /// Whether its caller may have sent bytes that wait to be read.
    is_unread: bool,
    /// Whether its caller does not read what it is sent.
    is_unsent: bool,
    /// Since when it has been told to give way. Its bytes are no longer counted.
    leaving_since: Option<Millis>,
}

/// In which order connections give way: idle ones, those that have had no request, stalled
/// ones; and of each kind by time, or by bytes and time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank(u8, u64);

impl Rank {
    const IDLE: Self = Self(0, 0);
    const STALLED: Self = Self(2, 0);
}

impl Holder {
    fn is_stalled(&self, now: Millis) -> bool {
        let is_waited_for = match self.phase {
            Phase::Head | Phase::Body => true,
            // A caller that reads its responses and sends one request at a time waits for
            // the gateway, not the other way round.
            Phase::Idle | Phase::Running => self.is_unread || self.is_unsent,
        };
        is_waited_for && now > self.moves_until
    }

    /// In which order connections give way, the highest first; `None` if it does not.
    fn rank(&self, now: Millis) -> Option<Rank> {
        if self.leaving_since.is_some() {
            return None;
        }
        if self.is_stalled(now) {
            let held_for = self.bytes as u64 * now.since(self.moves_until).0;
            return Some(Rank(Rank::STALLED.0, held_for));
        }
        let idle = now.since(self.since);
        match self.phase {
            Phase::Idle if idle > IDLE_GRACE => Some(Rank(u8::from(!self.has_served), idle.0)),
            _ => None,
        }
    }
}

/// The account of all connections of callers.
#[derive(Debug)]
pub struct Account {
    bounds: Bounds,
    holders: SlotMap<HolderKey, Holder>,
    held: usize,
}

impl Account {
    /// An account without connections.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            holders: SlotMap::with_key(),
            held: 0,
        }
    }

    /// Puts other bounds in force.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Bytes that connections hold, without those that were told to give way.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Bytes that connections may hold.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// The number of connections.
    pub fn connections(&self) -> usize {
        self.holders.len()
    }

    /// What a connection is doing.
    pub fn phase(&self, key: HolderKey) -> Option<Phase> {
        self.holders.get(key).map(|holder| holder.phase)
    }

    /// Bytes and connections by phase, in the order of the phases.
    pub fn by_phase(&self) -> [(usize, usize); 4] {
        let mut sums = [(0, 0); 4];
        for holder in self.holders.values() {
            let sum = &mut sums[holder.phase as usize];
            *sum = (sum.0 + holder.bytes, sum.1 + 1);
        }
        sums
    }

    /// Adds a connection, unless there are too many and none of them gives way.
    pub fn open(&mut self, now: Millis) -> (Option<HolderKey>, Decision) {
        let mut evictions = Vec::new();
        let is_full = self.holders.len() >= self.bounds.connections;
        let has_room = !is_full || self.evict(now, Rank::IDLE, &mut evictions);
        let is_granted =
            has_room && self.make_room(now, CONNECTION_BYTES, CONNECTION_BYTES, &mut evictions);
        let key = is_granted.then(|| {
            self.held += CONNECTION_BYTES;
            self.holders.insert(Holder {
                phase: Phase::Idle,
                since: now,
                bytes: CONNECTION_BYTES,
                moves_until: now + GRACE,
                has_served: false,
                is_unread: false,
                is_unsent: false,
                leaving_since: None,
            })
        });
        (
            key,
            Decision {
                is_granted,
                evictions,
            },
        )
    }

    /// Removes a connection with all that it holds.
    pub fn close(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.remove(key)
            && holder.leaving_since.is_none()
        {
            self.held -= holder.bytes;
        }
    }

    /// Lets a connection hold more, if that fits or others give way for it.
    pub fn charge(&mut self, now: Millis, key: HolderKey, bytes: usize) -> Decision {
        let mut evictions = Vec::new();
        let Some(holder) = self.holders.get(key) else {
            return Decision::default();
        };
        let total = holder.bytes + bytes;
        let is_granted = holder.leaving_since.is_none()
            && self.make_room(now, total, bytes, &mut evictions)
            // It may have been the one to give way.
            && self.holders[key].leaving_since.is_none();
        if is_granted {
            self.add(key, bytes);
        }
        Decision {
            is_granted,
            evictions,
        }
    }

    /// Takes back what a connection held.
    pub fn release(&mut self, key: HolderKey, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(key) {
            let bytes = bytes.min(holder.bytes);
            holder.bytes -= bytes;
            if holder.leaving_since.is_none() {
                self.held -= bytes;
            }
        }
    }

    /// Records what a connection does from now on.
    pub fn enter(&mut self, now: Millis, key: HolderKey, phase: Phase) {
        let Some(holder) = self.holders.get_mut(key) else {
            return;
        };
        holder.has_served |= phase == Phase::Idle;
        holder.phase = phase;
        holder.since = now;
        holder.moves_until = holder.moves_until.max(now + GRACE);
    }

    /// Records received bytes. `is_unread` tells whether more may wait to be read. What the
    /// kernel holds cannot be refused, so others give way for it.
    pub fn received(
        &mut self,
        now: Millis,
        key: HolderKey,
        bytes: usize,
        is_unread: bool,
    ) -> Vec<Eviction> {
        let Some(holder) = self.holders.get_mut(key) else {
            return Vec::new();
        };
        if bytes > 0 && holder.phase == Phase::Idle {
            holder.phase = Phase::Head;
            holder.since = now;
            holder.moves_until = holder.moves_until.max(now + GRACE);
        }
        holder.moved(now, bytes);
        let was_unread = std::mem::replace(&mut holder.is_unread, is_unread);
        self.change(now, key, was_unread, is_unread, RECEIVE_BUFFER_BYTES)
    }

    /// Records sent bytes. `is_unsent` tells whether the caller has to read before more
    /// can be sent.
    pub fn sent(
        &mut self,
        now: Millis,
        key: HolderKey,
        bytes: usize,
        is_unsent: bool,
    ) -> Vec<Eviction> {
        let Some(holder) = self.holders.get_mut(key) else {
            return Vec::new();
        };
        if is_unsent && !holder.is_unsent {
            holder.moves_until = holder.moves_until.max(now + GRACE);
        }
        holder.moved(now, bytes);
        let was_unsent = std::mem::replace(&mut holder.is_unsent, is_unsent);
        self.change(now, key, was_unsent, is_unsent, SEND_BUFFER_BYTES)
    }

    /// The connections that have taken too long: those that were told to give way and did not,
    /// and those whose head has been arriving for longer than `head_timeout`.
    pub fn overdue(&mut self, now: Millis, head_timeout: Millis) -> Vec<Eviction> {
        let mut overdue = Vec::new();
        for (key, holder) in &mut self.holders {
            let is_late = match (holder.leaving_since, holder.phase) {
                (Some(since), _) => now.since(since) > GRACE,
                (None, Phase::Head) => now.since(holder.since) > head_timeout,
                _ => false,
            };
            if is_late {
                if holder.leaving_since.replace(now).is_none() {
                    self.held -= holder.bytes;
                }
                overdue.push(Eviction {
                    holder: key,
                    is_refusable: false,
                    phase: holder.phase,
                });
            }
        }
        overdue
    }

    /// Gives all connections time to move, as the process itself did not run.
    pub fn resume(&mut self, now: Millis) {
        for holder in self.holders.values_mut() {
            holder.moves_until = holder.moves_until.max(now + GRACE);
            if holder.phase != Phase::Running {
                holder.since = now;
            }
        }
    }

    fn add(&mut self, key: HolderKey, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.bytes += bytes;
            if holder.leaving_since.is_none() {
                self.held += bytes;
            }
        }
    }

    fn change(
        &mut self,
        now: Millis,
        key: HolderKey,
        was: bool,
        is: bool,
        bytes: usize,
    ) -> Vec<Eviction> {
        let mut evictions = Vec::new();
        match (was, is) {
            (false, true) => {
                self.add(key, bytes);
                self.make_room(now, 0, 0, &mut evictions);
            }
            (true, false) => self.release(key, bytes),
            _ => {}
        }
        evictions
    }

    /// Lets connections give way until `bytes` more fit for a connection that then holds
    /// `total`. Returns whether they do.
    fn make_room(
        &mut self,
        now: Millis,
        total: usize,
        bytes: usize,
        evictions: &mut Vec<Eviction>,
    ) -> bool {
        // Idle connections of ordinary callers do not give way for large requests.
        let (share, least) = match total <= SMALL_BYTES {
            true => (self.bounds.bytes, Rank::IDLE),
            false => (self.bounds.bytes / 4 * 3, Rank::STALLED),
        };
        while self.held + bytes > share {
            if !self.evict(now, least, evictions) {
                return false;
            }
        }
        true
    }

    /// Lets the connection give way that has held most for longest.
    fn evict(&mut self, now: Millis, least: Rank, evictions: &mut Vec<Eviction>) -> bool {
        let ranked = self.holders.iter();
        let ranked = ranked.filter_map(|(key, holder)| Some((holder.rank(now)?, key)));
        let ranked = ranked.filter(|(rank, _)| *rank >= least);
        let Some((_, key)) = ranked.max_by_key(|(rank, _)| *rank) else {
            return false;
        };
        let holder = &mut self.holders[key];
        holder.leaving_since = Some(now);
        self.held -= holder.bytes;
        evictions.push(Eviction {
            holder: key,
            is_refusable: holder.phase == Phase::Body && !holder.is_unsent,
            phase: holder.phase,
        });
        true
    }
}

impl Holder {
    fn moved(&mut self, now: Millis, bytes: usize) {
        let credit = Millis(bytes as u64 * 1_000 / MIN_BYTES_PER_S);
        let floor = Millis(now.0.saturating_sub(MAX_DEBT.0));
        let until = self.moves_until.max(floor) + credit;
        self.moves_until = until.min(now + MAX_CREDIT).max(self.moves_until);
    }
}
