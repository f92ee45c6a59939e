//! The other registered gateways and their latest reports.

mod owners;

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::balance::rendezvous_weight;
use super::fan_out::{group_count, group_of};
use super::gossip::{Datagram, Message, ModelUsage, WorkspaceUsage};
use super::shares::MemberUsage;
use super::streams::{RECORD_COPIES, StreamId};
use super::view::LoadTable;
use crate::clock::Millis;

pub use owners::Owner;

/// Age at which a load report is no longer used, in a small fleet and in report intervals.
const MAX_LOAD_AGE: Millis = Millis(1_000);
const MAX_LOAD_INTERVALS: u64 = 3;
/// How long a gateway counts as reachable after its last datagram.
pub const PEER_TIMEOUT: Millis = Millis(1_500);
/// Number of gateways of a group that pass messages on, in turn. Updates overlap, so that
/// one of them may be lost without a gap.
const DISTRIBUTORS: usize = 2;

/// The registration of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: CompactString,
    /// The address at which it receives datagrams from the other gateways.
    pub address: SocketAddr,
    /// Distinguishes restarts of the gateway.
    pub boot: u64,
}

/// The latest messages from a peer.
#[derive(Clone, Debug, Default)]
struct PeerReport {
    /// The start of the peer that the report is from; 0 before its first datagram.
    boot: u64,
    /// Sequence number of the last datagram.
    number: u64,
    /// The same for urgent messages.
    urgent_number: u64,
    received_at: Millis,
    version: u64,
    is_draining: bool,
    loads: LoadTable,
    loads_at: Millis,
    limits: Option<Vec<WorkspaceUsage>>,
    demand: Vec<ModelUsage>,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    report: PeerReport,
    was_reachable: bool,
    /// Since when it has not been heard, until it is heard again.
    silent_since: Option<Millis>,
}

/// The other registered gateways, sorted by name.
#[derive(Clone, Debug)]
pub struct Members {
    own_name: CompactString,
    peers: Vec<Peer>,
    /// Interval at which the gateways report their status.
    status_interval: Millis,
    has_load_news: bool,
}

impl Members {
    /// Creates an empty table for the gateway with this name.
    pub fn new(own_name: CompactString) -> Self {
        Self {
            own_name,
            peers: Vec::new(),
            status_interval: Millis::ZERO,
            has_load_news: false,
        }
    }

    /// Sets the interval at which the gateways report their status.
    pub fn set_status_interval(&mut self, interval: Millis) {
        self.status_interval = interval;
    }

    /// Names of the known gateways that are missing from a full list.
    pub fn missing(&self, all: &[Member]) -> Vec<CompactString> {
        let names = self.peers.iter().map(|p| &p.member.name);
        names
            .filter(|name| !all.iter().any(|m| m.name == **name))
            .cloned()
            .collect()
    }

    /// Adds or updates a gateway. Its loads and limit usage from before a restart are
    /// discarded. Returns whether it is new or has restarted.
    pub fn put(&mut self, member: Member) -> bool {
        if member.name == self.own_name {
            return false;
        }
        match self.find(&member.name) {
            Ok(at) if self.peers[at].member == member => return false,
            Ok(at) => {
                self.peers[at].report.boot = 0;
                self.peers[at].report.number = 0;
                self.peers[at].report.urgent_number = 0;
                self.peers[at].report.loads.clear();
                self.peers[at].report.limits = None;
                // It is welcomed again, even if it is heard before the next look.
                self.peers[at].was_reachable = false;
                self.peers[at].member = member;
            }
            Err(at) => {
                let peer = Peer {
                    member,
                    report: PeerReport::default(),
                    was_reachable: false,
                    silent_since: None,
                };
                self.peers.insert(at, peer);
            }
        }
        true
    }

    /// The other gateways that keep the record of a stream.
    pub fn record_keepers(&self, id: StreamId) -> Vec<SocketAddr> {
        let ranked = |p: &&Peer| std::cmp::Reverse(rendezvous_weight(id.0, &p.member.name));
        let mut peers: Vec<&Peer> = self.peers.iter().collect();
        if peers.len() > RECORD_COPIES {
            peers.select_nth_unstable_by_key(RECORD_COPIES - 1, ranked);
            peers.truncate(RECORD_COPIES);
        }
        peers.iter().map(|p| p.member.address).collect()
    }

    /// Whether another gateway is among those that keep the record of a stream.
    pub fn keeps_record(&self, name: &str, id: StreamId) -> bool {
        let weight = rendezvous_weight(id.0, name);
        let others = self.peers.iter().filter(|p| p.member.name != name);
        let ahead = others.filter(|p| rendezvous_weight(id.0, &p.member.name) > weight);
        ahead.take(RECORD_COPIES).count() < RECORD_COPIES
    }

    /// Whether this gateway is among the few that another one's name selects.
    pub fn is_sponsor(&self, name: &str, sponsors: usize) -> bool {
        let seed = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let weight = rendezvous_weight(seed, &self.own_name);
        let others = self.peers.iter().filter(|p| p.member.name != name);
        let ahead = others.filter(|p| rendezvous_weight(seed, &p.member.name) > weight);
        ahead.take(sponsors).count() < sponsors
    }

    /// Removes a gateway that is no longer registered. Returns its last reported usage
    /// unless it was draining.
    pub fn remove(&mut self, name: &str) -> Option<MemberUsage> {
        let at = self.find(name).ok()?;
        let peer = self.peers.remove(at);
        (!peer.report.is_draining).then_some(MemberUsage {
            limits: peer.report.limits,
            is_reachable: false,
        })
    }

    /// The other gateways count as not heard until their next message.
    pub fn forget_contact(&mut self) {
        for peer in &mut self.peers {
            if peer.report.boot != 0 {
                peer.silent_since = Some(peer.report.received_at);
            }
            peer.report.boot = 0;
            peer.was_reachable = false;
        }
    }

    /// Stores the report in a datagram, or returns any other message. Datagrams that
    /// are outdated are ignored, and those of an unregistered gateway, unless they hold
    /// what is true whoever says it.
    pub fn receive(&mut self, now: Millis, datagram: Datagram) -> Option<Message> {
        let is_member = |at: &usize| self.peers[*at].member.boot == datagram.boot;
        let Some(at) = self.find(&datagram.from).ok().filter(is_member) else {
            let message = datagram.message;
            let is_fact = matches!(message, Message::Streams(_) | Message::Members(_));
            return is_fact.then_some(message);
        };
        let peer = &mut self.peers[at];
        let report = &mut peer.report;
        let is_new_start = report.boot != datagram.boot;
        let last = match datagram.message.is_urgent() {
            true => &mut report.urgent_number,
            false => &mut report.number,
        };
        if !is_new_start && datagram.number <= *last {
            return None;
        }
        *last = datagram.number;
        report.boot = datagram.boot;
        report.received_at = now;
        match datagram.message {
            Message::Status {
                version,
                is_draining,
                is_first,
                loads,
            } => {
                report.version = version;
                report.is_draining = is_draining;
                if is_first {
                    report.loads.clear();
                }
                report.loads.extend(loads);
                report.loads_at = now;
                self.has_load_news = true;
                None
            }
            Message::Limits(mut uses) => {
                uses.sort_by(|a, b| a.workspace.cmp(&b.workspace));
                report.limits = Some(uses);
                None
            }
            Message::Demand { is_first, uses } => {
                if is_first {
                    report.demand.clear();
                }
                report.demand.extend(uses);
                None
            }
            other => Some(other),
        }
    }

    /// The other registered gateways.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.peers.iter().map(|p| &p.member)
    }

    /// The number of registered gateways, this one included.
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Gateways that became reachable or unreachable since the last call, with
    /// whether they are reachable.
    pub fn take_reachability_changes(&mut self, now: Millis) -> Vec<(CompactString, bool)> {
        let mut changes = Vec::new();
        for peer in &mut self.peers {
            let is_reachable =
                peer.report.boot != 0 && now.since(peer.report.received_at) < PEER_TIMEOUT;
            if std::mem::replace(&mut peer.was_reachable, is_reachable) != is_reachable {
                changes.push((peer.member.name.clone(), is_reachable));
                if !is_reachable {
                    peer.silent_since = Some(peer.report.received_at);
                }
            }
        }
        changes
    }

    /// Returns once since when a gateway had not been heard that is heard again.
    pub fn take_silent_since(&mut self, name: &str) -> Option<Millis> {
        let at = self.find(name).ok()?;
        self.peers[at].silent_since.take()
    }

    /// The sum of the loads that the other gateways have in flight, sorted by endpoint.
    pub fn loads(&self, now: Millis) -> LoadTable {
        let mut all: LoadTable = Vec::new();
        let max_age = MAX_LOAD_AGE.max(Millis(self.status_interval.0 * MAX_LOAD_INTERVALS));
        let fresh = self
            .peers
            .iter()
            .filter(|p| now.since(p.report.loads_at) < max_age);
        for (endpoint, load) in fresh.flat_map(|p| &p.report.loads) {
            match all.binary_search_by(|(id, _)| id.cmp(endpoint)) {
                Ok(at) => all[at].1.add(load),
                Err(at) => all.insert(at, (endpoint.clone(), load.clone())),
            }
        }
        all
    }

    /// Whether loads were reported since the last call.
    pub fn take_load_news(&mut self) -> bool {
        std::mem::take(&mut self.has_load_news)
    }

    /// The gateway of this one's group to which it reports its loads; `None` if that is this
    /// one.
    pub fn collector(
        &self,
        now: Millis,
        groups: u16,
        is_draining: bool,
        is_avoided: impl Fn(&str) -> bool,
    ) -> Option<&Member> {
        let group = group_of(&self.own_name, groups);
        let weight = |name: &str| rendezvous_weight(u64::from(group), name);
        let peers = self.staying(now);
        let peers = peers.filter(|p| group_of(&p.member.name, groups) == group);
        let peers = peers.filter(|p| !is_avoided(&p.member.name));
        let best = peers.max_by_key(|p| weight(&p.member.name))?;
        let is_ahead = weight(&best.member.name) > weight(&self.own_name);
        (is_ahead || is_draining).then_some(&best.member)
    }

    /// The gateways of the other groups to which those of each group report their loads.
    pub fn collectors(&self, now: Millis, groups: u16) -> Vec<SocketAddr> {
        let own = group_of(&self.own_name, groups);
        let mut best: Vec<Option<(u64, SocketAddr)>> = vec![None; usize::from(groups)];
        for peer in self.staying(now) {
            let group = group_of(&peer.member.name, groups);
            let weight = rendezvous_weight(u64::from(group), &peer.member.name);
            let known = &mut best[usize::from(group)];
            if group != own && known.is_none_or(|(most, _)| weight > most) {
                *known = Some((weight, peer.member.address));
            }
        }
        best.into_iter().flatten().map(|(_, to)| to).collect()
    }

    /// Usage of the limits at each of the other gateways.
    pub fn limit_usage(&self, now: Millis) -> Vec<MemberUsage> {
        let usage = self.peers.iter().map(|p| MemberUsage {
            limits: p.report.limits.clone(),
            is_reachable: now.since(p.report.received_at) < PEER_TIMEOUT,
        });
        usage.collect()
    }

    /// Reachable gateways that have reported a workspace's limit, with their last known
    /// level in tokens.
    pub fn lenders(&self, now: Millis, workspace: &str) -> Vec<(SocketAddr, u64)> {
        let is_reachable = |p: &&Peer| now.since(p.report.received_at) < PEER_TIMEOUT;
        let reachable = self.peers.iter().filter(is_reachable);
        let levels = reachable.filter_map(|p| {
            let uses = p.report.limits.as_ref()?;
            let at = uses.binary_search_by(|u| u.workspace.as_str().cmp(workspace));
            Some((p.member.address, uses[at.ok()?].level))
        });
        levels.collect()
    }

    /// Deducts requested tokens from a lender's known level until its reply states
    /// the actual one.
    pub fn note_loan_requested(&mut self, lender: SocketAddr, workspace: &str, tokens: u64) {
        let peers = self.peers.iter_mut();
        let peer = peers.filter(|p| p.member.address == lender);
        let uses = peer.flat_map(|p| p.report.limits.iter_mut().flatten());
        for usage in uses.filter(|u| u.workspace == workspace) {
            usage.level = usage.level.saturating_sub(tokens);
        }
    }

    /// Sets the number of tokens that a gateway has left.
    pub fn set_lender_level(&mut self, lender: &str, workspace: &str, level: u64) {
        let Ok(at) = self.find(lender) else {
            return;
        };
        let uses = self.peers[at].report.limits.iter_mut().flatten();
        for usage in uses.filter(|u| u.workspace == workspace) {
            usage.level = level;
        }
    }

    /// Demand for models at the reachable gateways.
    pub fn demand(&self, now: Millis) -> impl Iterator<Item = &ModelUsage> {
        let is_reachable = move |p: &&Peer| now.since(p.report.received_at) < PEER_TIMEOUT;
        self.peers
            .iter()
            .filter(is_reachable)
            .flat_map(|p| &p.report.demand)
    }

    /// A reachable gateway with the newest configuration, if that is newer than `version`:
    /// another one for each turn.
    pub fn with_newer_version(&self, now: Millis, version: u64, turn: usize) -> Option<&Member> {
        let is_reachable = |p: &&Peer| now.since(p.report.received_at) < PEER_TIMEOUT;
        let reachable = self.peers.iter().filter(is_reachable);
        let newest = reachable.clone().map(|p| p.report.version).max()?;
        if newest <= version {
            return None;
        }
        let holders = reachable.filter(|p| p.report.version == newest);
        self.pick(&holders.collect::<Vec<_>>(), turn)
    }

    /// The gateway whose turn it is to be asked.
    pub fn in_turn(&self, turn: usize) -> Option<&Member> {
        self.pick(&self.peers.iter().collect::<Vec<_>>(), turn)
    }

    /// A few of the reachable gateways, others at each turn.
    pub fn sample(&self, now: Millis, turn: usize, count: usize) -> Vec<SocketAddr> {
        let is_reachable = |p: &&Peer| now.since(p.report.received_at) < PEER_TIMEOUT;
        let ranked = self.peers.iter().filter(is_reachable);
        let seed = xxhash_rust::xxh3::xxh3_64_with_seed(self.own_name.as_bytes(), turn as u64);
        top(ranked, count, seed)
    }

    /// How a message reaches all other gateways: the number of groups, the gateways that
    /// pass it on in their group, and those to which it is sent directly, since their group
    /// has no reachable gateway. At each turn others pass it on.
    pub fn routes(&self, now: Millis, turn: usize) -> (u16, Vec<SocketAddr>, Vec<SocketAddr>) {
        let groups = group_count(self.count());
        if groups == 0 {
            let all = self.peers.iter().map(|p| p.member.address);
            return (0, all.collect(), Vec::new());
        }
        let (mut distributors, mut direct) = (Vec::new(), Vec::new());
        for group in 0..groups {
            let of_group = |p: &&Peer| group_of(&p.member.name, groups) == group;
            let is_reachable = |p: &&Peer| now.since(p.report.received_at) < PEER_TIMEOUT;
            let peers = self.peers.iter().filter(of_group);
            let staying = peers.clone().filter(is_reachable);
            let seed = xxhash_rust::xxh3::xxh3_64(self.own_name.as_bytes());
            let best = top(staying, DISTRIBUTORS, seed);
            match best.get(turn.checked_rem(best.len()).unwrap_or(0)) {
                Some(distributor) => distributors.push(*distributor),
                None => direct.extend(peers.map(|p| p.member.address)),
            }
        }
        (groups, distributors, direct)
    }

    /// The other gateways of this one's group, except one.
    pub fn group_peers(&self, groups: u16, except: &str) -> Vec<SocketAddr> {
        let group = group_of(&self.own_name, groups);
        let peers = self.peers.iter().filter(|p| p.member.name != except);
        let peers = peers.filter(|p| group_of(&p.member.name, groups) == group);
        peers.map(|p| p.member.address).collect()
    }

    /// Picks a peer by turn. The turns of different gateways begin at different peers.
    fn pick<'a>(&self, peers: &[&'a Peer], turn: usize) -> Option<&'a Member> {
        let first = peers.partition_point(|p| p.member.name < self.own_name);
        let at = (first + turn).checked_rem(peers.len())?;
        Some(&peers[at].member)
    }

    /// The number of gateways that precede this one by name and are not draining.
    pub fn rank(&self) -> usize {
        let earlier = self.peers.iter().filter(|p| p.member.name < self.own_name);
        earlier.filter(|p| !p.report.is_draining).count()
    }

    /// The address of a gateway.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.find(name).ok().map(|at| self.peers[at].member.address)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|p| p.member.name.as_str().cmp(name))
    }
}

/// The first few peers in the order of a seed.
fn top<'a>(peers: impl Iterator<Item = &'a Peer>, count: usize, seed: u64) -> Vec<SocketAddr> {
    let mut ranked: Vec<&Peer> = peers.collect();
    ranked.sort_unstable_by_key(|p| std::cmp::Reverse(rendezvous_weight(seed, &p.member.name)));
    let first = ranked.into_iter().take(count);
    first.map(|p| p.member.address).collect()
}
