//! The other gateways: who they are, and what they said last.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::gossip::{Datagram, Message, ModelUse, WorkspaceUse};
use super::shares::MemberUsage;
use super::view::LoadTable;
use crate::clock::Millis;

/// How long a gateway's report of its load counts; it reports several times in
/// this time.
const LOAD_LIFETIME: Millis = Millis(1_000);
/// How long a gateway counts as reachable after it was heard.
const HEARD_LIFETIME: Millis = Millis(1_500);

/// A gateway as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: CompactString,
    /// Where the other gateways reach it.
    pub address: SocketAddr,
    /// Tells its starts apart.
    pub boot: u64,
}

#[derive(Clone, Debug, Default)]
struct Heard {
    boot: u64,
    number: u64,
    at: Millis,
    version: u64,
    is_draining: bool,
    loads: LoadTable,
    loads_at: Millis,
    limits: Option<Vec<WorkspaceUse>>,
    demand: Vec<ModelUse>,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    heard: Heard,
    was_heard: bool,
}

/// All other gateways that are registered.
#[derive(Clone, Debug)]
pub struct Members {
    me: CompactString,
    peers: Vec<Peer>,
}

impl Members {
    /// No other gateway is known.
    pub fn new(me: CompactString) -> Self {
        Self {
            me,
            peers: Vec::new(),
        }
    }

    /// Names of the gateways that are not among those registered now.
    pub fn missing(&self, all: &[Member]) -> Vec<CompactString> {
        let names = self.peers.iter().map(|p| &p.member.name);
        names
            .filter(|name| !all.iter().any(|m| m.name == **name))
            .cloned()
            .collect()
    }

    /// Takes in one gateway. What a former start of it said does not count.
    pub fn put(&mut self, member: Member) {
        if member.name == self.me {
            return;
        }
        match self.find(&member.name) {
            Ok(at) if self.peers[at].member == member => {}
            Ok(at) => {
                self.peers[at].heard.boot = 0;
                self.peers[at].heard.loads.clear();
                self.peers[at].heard.limits = None;
                self.peers[at].member = member;
            }
            Err(at) => {
                let peer = Peer {
                    member,
                    heard: Heard::default(),
                    was_heard: false,
                };
                self.peers.insert(at, peer);
            }
        }
    }

    /// Takes in that a gateway is not registered any more; returns what it asked
    /// for, unless it was stopping.
    pub fn remove(&mut self, name: &str) -> Option<MemberUsage> {
        let at = self.find(name).ok()?;
        let peer = self.peers.remove(at);
        (!peer.heard.is_draining).then_some(MemberUsage {
            uses: peer.heard.limits,
            is_fresh: false,
        })
    }

    /// Takes in a datagram; returns what it says unless it is old or from a
    /// gateway that is not registered.
    pub fn receive(&mut self, now: Millis, datagram: Datagram) -> Option<Message> {
        let at = self.find(&datagram.from).ok()?;
        let peer = &mut self.peers[at];
        if peer.member.boot != datagram.boot {
            return None;
        }
        let heard = &mut peer.heard;
        if heard.boot == datagram.boot && datagram.number <= heard.number {
            return None;
        }
        heard.boot = datagram.boot;
        heard.number = datagram.number;
        heard.at = now;
        match datagram.message {
            Message::Status {
                version,
                is_draining,
                is_first,
                loads,
            } => {
                heard.version = version;
                heard.is_draining = is_draining;
                if is_first {
                    heard.loads.clear();
                }
                heard.loads.extend(loads);
                heard.loads_at = now;
                None
            }
            Message::Limits(mut uses) => {
                uses.sort_by(|a, b| a.workspace.cmp(&b.workspace));
                heard.limits = Some(uses);
                None
            }
            Message::Demand { is_first, uses } => {
                if is_first {
                    heard.demand.clear();
                }
                heard.demand.extend(uses);
                None
            }
            other => Some(other),
        }
    }

    /// The registered gateways except this one.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.peers.iter().map(|p| &p.member)
    }

    /// Gateways that are registered, this one included.
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Whether this gateway and those heard lately are most of the registered.
    pub fn hears_most(&self, now: Millis) -> bool {
        let is_fresh = |p: &&Peer| now.since(p.heard.at) < HEARD_LIFETIME && p.heard.boot != 0;
        let heard = self.peers.iter().filter(is_fresh).count() + 1;
        heard * 2 > self.count()
    }

    /// Gateways that fell silent or were heard again since the last look, with
    /// whether they are heard.
    pub fn take_changes(&mut self, now: Millis) -> Vec<(CompactString, bool)> {
        let mut changes = Vec::new();
        for peer in &mut self.peers {
            let is_heard = peer.heard.boot != 0 && now.since(peer.heard.at) < HEARD_LIFETIME;
            if std::mem::replace(&mut peer.was_heard, is_heard) != is_heard {
                changes.push((peer.member.name.clone(), is_heard));
            }
        }
        changes
    }

    /// What the other gateways have in flight, in ascending order of endpoint.
    pub fn loads(&self, now: Millis) -> LoadTable {
        let mut all: LoadTable = Vec::new();
        let fresh = self
            .peers
            .iter()
            .filter(|p| now.since(p.heard.loads_at) < LOAD_LIFETIME);
        for (endpoint, load) in fresh.flat_map(|p| &p.heard.loads) {
            match all.binary_search_by(|(id, _)| id.cmp(endpoint)) {
                Ok(at) => all[at].1.add(load),
                Err(at) => all.insert(at, (endpoint.clone(), load.clone())),
            }
        }
        all
    }

    /// What the other gateways' callers ask of the limits.
    pub fn uses(&self, now: Millis) -> Vec<MemberUsage> {
        let uses = self.peers.iter().map(|p| MemberUsage {
            uses: p.heard.limits.clone(),
            is_fresh: now.since(p.heard.at) < HEARD_LIFETIME,
        });
        uses.collect()
    }

    /// Gateways heard lately that have a part of a workspace's limit, with the
    /// tokens that they had.
    pub fn lenders(&self, now: Millis, workspace: &str) -> Vec<(SocketAddr, u64)> {
        let fresh = |p: &&Peer| now.since(p.heard.at) < HEARD_LIFETIME;
        let fresh = self.peers.iter().filter(fresh);
        let levels = fresh.filter_map(|p| {
            let uses = p.heard.limits.as_ref()?;
            let at = uses.binary_search_by(|u| u.workspace.as_str().cmp(workspace));
            Some((p.member.address, uses[at.ok()?].level))
        });
        levels.collect()
    }

    /// Notes that a gateway was asked for tokens; its answer tells what is left.
    pub fn note_asked(&mut self, lender: SocketAddr, workspace: &str, tokens: u64) {
        let peers = self.peers.iter_mut();
        let peer = peers.filter(|p| p.member.address == lender);
        let uses = peer.flat_map(|p| p.heard.limits.iter_mut().flatten());
        for one in uses.filter(|u| u.workspace == workspace) {
            one.level = one.level.saturating_sub(tokens);
        }
    }

    /// Notes how many tokens a gateway has left.
    pub fn note_level(&mut self, lender: &str, workspace: &str, level: u64) {
        let Ok(at) = self.find(lender) else {
            return;
        };
        let uses = self.peers[at].heard.limits.iter_mut().flatten();
        for one in uses.filter(|u| u.workspace == workspace) {
            one.level = level;
        }
    }

    /// What the other gateways' callers ask of the models.
    pub fn demand(&self, now: Millis) -> impl Iterator<Item = &ModelUse> {
        let fresh = move |p: &&Peer| now.since(p.heard.at) < HEARD_LIFETIME;
        self.peers
            .iter()
            .filter(fresh)
            .flat_map(|p| &p.heard.demand)
    }

    /// A gateway that was heard lately and has a newer configuration.
    pub fn with_newer_version(&self, now: Millis, version: u64) -> Option<&Member> {
        let fresh = |p: &&Peer| now.since(p.heard.at) < HEARD_LIFETIME;
        let newer = self.peers.iter().filter(fresh);
        let newest = newer.max_by_key(|p| p.heard.version)?;
        (newest.heard.version > version).then_some(&newest.member)
    }

    /// The place of this gateway among those that are registered, from 0.
    pub fn rank(&self) -> usize {
        let earlier = self.peers.iter().filter(|p| p.member.name < self.me);
        earlier.filter(|p| !p.heard.is_draining).count()
    }

    /// Where a gateway is reached.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.find(name).ok().map(|at| self.peers[at].member.address)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|p| p.member.name.as_str().cmp(name))
    }
}
