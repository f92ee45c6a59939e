//! Which gateways are asked for the software version that began a stream, and what the store
//! keeps of these versions.

use std::net::SocketAddr;

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::gossip::Message;
use crate::direct::members::Owner;
use crate::direct::streams::{AgedRecord, STREAM_BUCKETS, StreamId};
use crate::journal;

/// The records take the store's writing calls divided by this, at most.
const WRITES_DIVISOR: u64 = 4;
/// Shortest interval between two writes of a bucket.
const MIN_WRITE_INTERVAL: Millis = Millis(100);
/// The most bytes of a bucket that are written in a second.
const BYTES_PER_S: u64 = 64 << 10;
/// Delay after a failed call.
const RETRY_DELAY: Millis = Millis(500);
/// From this question on, a gateway reads the store itself: the owner of the bucket doesn't
/// know the stream, or is away.
const OWN_READ_TURN: u32 = 2;
/// Interval at which a gateway determines which buckets it writes.
const OWNER_INTERVAL: Millis = Millis(250);
/// Interval at which the gateway that writes a bucket is told of recent streams again: all
/// datagrams about one of them may be lost.
const REPEAT_INTERVAL: Millis = Millis(1_500);
/// How long before a gateway was heard last what it was told may be lost.
const LOSS_MARGIN: Millis = Millis(1_000);
/// How long a bucket that another gateway writes is not read again.
const REREAD_INTERVAL: Millis = Millis(200);

/// What this gateway knows of one bucket in the store.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// The revision of its key; `None` until it has been read.
    revision: Option<u64>,
    read_at: Millis,
    /// Whether this gateway writes it.
    is_owner: bool,
    /// The gateway that writes it and was told what is known here, and when it was told last.
    informed: Option<(SocketAddr, Millis)>,
    /// Whether records have come that are not written.
    has_changed: bool,
    /// Whether a call is under way.
    is_busy: bool,
    next_write: Millis,
}

/// What this gateway knows of the records in the store.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamStorage {
    buckets: [Bucket; STREAM_BUCKETS as usize],
    owners_due: Millis,
    /// How long streams lasted as of the last look.
    lifetime: Millis,
}

impl StreamStorage {
    fn bucket(&mut self, bucket: u8) -> &mut Bucket {
        &mut self.buckets[usize::from(bucket % STREAM_BUCKETS)]
    }

    /// Whoever writes a bucket later has to be told what is known here.
    fn forget_informed(&mut self) {
        self.buckets.iter_mut().for_each(|b| b.informed = None);
    }

    /// The same if it is this gateway, which has started or missed something.
    pub fn forget_informed_at(&mut self, address: SocketAddr) {
        let buckets = self.buckets.iter_mut();
        let informed = buckets.filter(|b| b.informed.is_some_and(|(to, _)| to == address));
        informed.for_each(|b| b.informed = None);
    }

    /// Sets how long streams may last. Older ones have to be stored if that is longer than
    /// before.
    fn set_lifetime(&mut self, lifetime: Millis) {
        if lifetime > self.lifetime {
            self.forget_informed();
            self.buckets.iter_mut().for_each(|b| b.has_changed = true);
        }
        self.lifetime = lifetime;
    }

    /// The store may have lost what was written: all buckets are read and written again.
    pub fn store_restored(&mut self) {
        for bucket in &mut self.buckets {
            bucket.revision = None;
            bucket.has_changed = true;
        }
    }
}

impl Control {
    /// The gateway that writes a bucket.
    pub fn bucket_owner(&self, now: Millis, bucket: u8) -> Owner {
        let key = u64::from(bucket);
        self.members.owner_of(now, key, self.is_draining)
    }

    /// The records of these streams are to be written if this gateway writes their buckets.
    pub fn note_streams(&mut self, streams: impl IntoIterator<Item = StreamId>) {
        for id in streams {
            self.stream_storage.bucket(id.bucket()).has_changed = true;
        }
    }

    /// Asks the gateways that keep the record of a stream, and the one that writes it to the
    /// store.
    pub(super) fn seek_stream(
        &mut self,
        now: Millis,
        id: StreamId,
        turn: u32,
        out: &mut Vec<Effect>,
    ) {
        let mut asked = self.members.record_keepers(id);
        if let Owner::Other(address) = self.bucket_owner(now, id.bucket())
            && !asked.contains(&address)
        {
            asked.push(address);
        }
        out.push(Effect::SendAll(asked, Message::StreamSought(id)));
        let is_owner = self.update_owner(now, id.bucket());
        if is_owner || turn >= OWN_READ_TURN {
            self.read_streams(now, id.bucket(), out);
        }
    }

    /// Tells a gateway that is heard again of the streams that it has missed: what it was told
    /// while it was not heard, and shortly before, may be lost.
    pub(super) fn copy_missed_streams(&mut self, peer: &str, out: &mut Vec<Effect>) {
        if let Some(address) = self.members.address_of(peer) {
            self.stream_storage.forget_informed_at(address);
        }
        let silent_since = self.members.take_silent_since(peer);
        out.extend(silent_since.map(|since| Effect::CopyStreams {
            to: peer.into(),
            since: since - LOSS_MARGIN,
        }));
    }

    /// Answers a gateway that asks for a stream, if its record is known here.
    pub(super) fn stream_sought(
        &mut self,
        now: Millis,
        from: &str,
        id: StreamId,
        out: &mut Vec<Effect>,
    ) {
        let history = &self.versions.history;
        let is_sure = now < self.current_until() && history.is_complete(now);
        let if_unknown = is_sure && !history.has_several(now);
        let to = self.members.address_of(from);
        out.extend(to.map(|to| Effect::TellStream { to, id, if_unknown }));
        if self.update_owner(now, id.bucket()) {
            self.read_streams(now, id.bucket(), out);
        }
    }

    /// Determines whether this gateway writes a bucket. One that begins to do so reads what
    /// is stored, and adds what it knows. Right after the start it hears no others, and would
    /// take itself for the owner of all.
    fn update_owner(&mut self, now: Millis, bucket: u8) -> bool {
        let may_own = self.members.hears_majority(now) && self.authority(now).may_own();
        let is_owner = may_own && self.bucket_owner(now, bucket) == Owner::Own;
        let state = self.stream_storage.bucket(bucket);
        if is_owner && !state.is_owner {
            state.revision = None;
            state.has_changed = true;
        }
        state.is_owner = is_owner;
        is_owner
    }

    /// Reads a bucket unless its content is known.
    fn read_streams(&mut self, now: Millis, bucket: u8, out: &mut Vec<Effect>) {
        let state = self.stream_storage.bucket(bucket);
        let is_recent = state.is_owner || now.since(state.read_at) < REREAD_INTERVAL;
        let is_known = state.revision.is_some() && is_recent;
        if is_known || state.is_busy || self.is_store_lost {
            return;
        }
        state.is_busy = true;
        state.read_at = now;
        out.push(Effect::ReadStreams(bucket));
    }

    /// Determines the buckets of this gateway and writes them, unless streams that nobody
    /// remembers may go on at the only version.
    pub(super) fn store_streams(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if !self.versions.needs_stored_streams {
            self.stream_storage.forget_informed();
            return;
        }
        let lifetime = self.versions.history.longest_lifetime();
        self.stream_storage.set_lifetime(lifetime);
        if now >= self.stream_storage.owners_due {
            self.stream_storage.owners_due = now + OWNER_INTERVAL;
            for bucket in 0..STREAM_BUCKETS {
                if !self.update_owner(now, bucket) {
                    self.stream_storage.bucket(bucket).has_changed = false;
                }
                self.inform_owner(now, bucket, out);
            }
        }
        self.store_changed_streams(now, out);
    }

    /// Tells a gateway that begins to write a bucket of the streams that are known here, as it may
    /// have heard of a part of them, and from then on of recent ones again.
    fn inform_owner(&mut self, now: Millis, bucket: u8, out: &mut Vec<Effect>) {
        let Owner::Other(to) = self.bucket_owner(now, bucket) else {
            self.stream_storage.bucket(bucket).informed = None;
            return;
        };
        let lifetime = self.stream_storage.lifetime;
        let state = self.stream_storage.bucket(bucket);
        let max_age = match state.informed {
            Some((informed, at)) if informed == to && now.since(at) < REPEAT_INTERVAL => return,
            Some((informed, at)) if informed == to => now.since(at) + REPEAT_INTERVAL,
            _ => lifetime,
        };
        state.informed = Some((to, now));
        out.push(Effect::CopyBucket {
            to,
            bucket,
            max_age,
        });
    }

    /// Writes the buckets of this gateway that have changed.
    pub(super) fn store_changed_streams(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.is_store_lost || !self.versions.needs_stored_streams {
            return;
        }
        let max_age = self.stream_storage.lifetime;
        for bucket in 0..STREAM_BUCKETS {
            let state = self.stream_storage.bucket(bucket);
            let is_due = state.has_changed && !state.is_busy && now >= state.next_write;
            if !is_due || !state.is_owner {
                continue;
            }
            state.is_busy = true;
            let Some(expected) = state.revision else {
                out.push(Effect::ReadStreams(bucket));
                continue;
            };
            state.has_changed = false;
            out.push(Effect::StoreStreams {
                bucket,
                expected,
                max_age,
            });
        }
    }

    /// A bucket was read. What this gateway knows besides is written next.
    pub(super) fn streams_read(
        &mut self,
        now: Millis,
        bucket: u8,
        revision: u64,
        records: Vec<AgedRecord>,
        out: &mut Vec<Effect>,
    ) {
        let state = self.stream_storage.bucket(bucket);
        if state.revision != Some(revision) {
            let oldest = records.iter().map(|(_, age)| *age).max();
            journal::write(
                "streams.read",
                &[
                    ("bucket", u64::from(bucket).into()),
                    ("revision", revision.into()),
                    ("records", records.len().into()),
                    ("oldest_ms", oldest.unwrap_or_default().into()),
                ],
            );
        }
        state.is_busy = false;
        state.revision = Some(revision);
        state.read_at = now;
        state.has_changed |= state.is_owner;
        out.push(Effect::LearnStoredStreams(records));
    }

    pub(super) fn streams_stored(&mut self, now: Millis, bucket: u8, revision: u64, bytes: usize) {
        let writes_per_s = u64::from(self.settings.store_writes_per_s) / WRITES_DIVISOR;
        let by_calls = u64::from(STREAM_BUCKETS) * 1_000 / writes_per_s.max(1);
        let by_bytes = bytes as u64 * 1_000 / BYTES_PER_S;
        let interval = MIN_WRITE_INTERVAL.max(Millis(by_calls.max(by_bytes)));
        let state = self.stream_storage.bucket(bucket);
        state.is_busy = false;
        state.revision = Some(revision);
        state.next_write = now + interval;
    }

    /// A call failed. A write may have taken effect, so that the bucket is read again.
    pub(super) fn stream_storage_failed(&mut self, now: Millis, bucket: u8) {
        let state = self.stream_storage.bucket(bucket);
        state.is_busy = false;
        state.revision = None;
        state.has_changed = true;
        state.next_write = now + RETRY_DELAY;
    }
}
