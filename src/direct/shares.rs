//! Divides each workspace's limit into one share per gateway.
//!
//! Every gateway computes the same division from the same input: the demand that
//! each member reported. A smaller share applies at once; a larger share applies
//! only after the other gateways have certainly received the reports it is based
//! on. No share grows while a registered member is unreachable, because that member
//! may see a rise in demand at the same time and raise its own share.
//!
//! A member whose registration ended may still be running, cut off from the others.
//! Half of its share is reserved for it, and the other gateways divide the rest.
//! Accordingly, a gateway that cannot renew its registration and hears from only a
//! minority of the gateways halves its shares.

use compact_str::CompactString;

use super::gossip::WorkspaceUsage;
use crate::bucket::WHOLE_PPM;
use crate::clock::Millis;

/// Delay before a larger share applies: one report interval and the latency between
/// zones.
const RAISE_DELAY: Millis = Millis(300);
/// Raises up to this size, in parts per million, apply at once. They match small
/// cuts that the other gateways make at the same time, and delaying each of them
/// would keep the sum of the shares below the limit.
const SMALL_RAISE_PPM: u64 = 20_000;
/// An even split of the rate, divided by this, is added to the demand of every gateway,
/// so that a gateway whose callers return has a share to start with.
const BASE_DEMAND_DIVISOR: u64 = 5;
/// A member that is cut off keeps its shares divided by this.
const CUT_OFF_DIVISOR: u64 = 2;
/// How long shares are reserved for a former member: longer than the outages that
/// keep it from registering again.
const FORMER_LIFETIME: Millis = Millis(15_000);

/// Usage of the workspaces' limits at one member.
#[derive(Clone, Debug, Default)]
pub struct MemberUsage {
    /// Usage by limit, sorted by workspace; `None` before the first report.
    pub limits: Option<Vec<WorkspaceUsage>>,
    /// Whether the member was heard recently.
    pub is_reachable: bool,
}

/// A larger share that does not apply yet.
#[derive(Clone, Debug)]
struct PendingRaise {
    ppm: u64,
    since: Millis,
}

/// This gateway's share of one workspace's limit.
#[derive(Clone, Debug)]
struct Share {
    workspace: CompactString,
    /// The share that applies now, in parts per million.
    ppm: u64,
    /// The target share before a gateway that is cut off halves it, in parts per
    /// million.
    full_ppm: u64,
    raise: Option<PendingRaise>,
    /// Whether it has never been set. The first share applies at once: the bucket of a
    /// new gateway is empty, so it can admit only a few requests before the others
    /// have reduced their shares.
    is_new: bool,
}

/// Shares that are reserved for a member whose registration ended.
#[derive(Clone, Debug)]
struct FormerMember {
    member: CompactString,
    since: Millis,
    /// Shares in parts per million, by workspace.
    shares: Vec<(CompactString, u64)>,
}

/// The shares of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    shares: Vec<Share>,
    former: Vec<FormerMember>,
}

/// A workspace's limit, as the division needs it.
#[derive(Clone, Debug)]
pub struct Limit {
    /// The workspace.
    pub workspace: CompactString,
    /// Tokens per second.
    pub rate: u64,
}

impl Shares {
    /// Recomputes the shares and returns those that changed, in parts per million.
    pub fn divide(
        &mut self,
        now: Millis,
        limits: &[Limit],
        own: &MemberUsage,
        others: &[MemberUsage],
        is_cut_off: bool,
    ) -> Vec<(CompactString, u64)> {
        self.shares
            .retain(|s| limits.iter().any(|l| l.workspace == s.workspace));
        self.former.retain(|f| now.since(f.since) < FORMER_LIFETIME);
        let hears_all = others.iter().all(|one| one.is_reachable);
        let mut changed = Vec::new();
        for limit in limits {
            let free = WHOLE_PPM.saturating_sub(self.reserved_for_former(&limit.workspace));
            let mut target = share_of(limit, own, others) * free / WHOLE_PPM;
            let share = self.share_mut(&limit.workspace);
            if !hears_all && !share.is_new {
                target = target.min(share.full_ppm);
            }
            share.full_ppm = target;
            if is_cut_off {
                target /= CUT_OFF_DIVISOR;
            }
            if share.approach(now, target) {
                changed.push((share.workspace.clone(), share.ppm));
            }
        }
        changed
    }

    /// Reserves half of the shares of a member whose registration ended.
    pub fn member_left(
        &mut self,
        now: Millis,
        member: CompactString,
        limits: &[Limit],
        usage: &MemberUsage,
        remaining: &[MemberUsage],
    ) {
        let shares = limits.iter().map(|limit| {
            let share = share_of(limit, usage, remaining) / CUT_OFF_DIVISOR;
            (limit.workspace.clone(), share)
        });
        let shares = shares.collect();
        self.member_returned(&member);
        self.former.push(FormerMember {
            member,
            since: now,
            shares,
        });
    }

    /// Releases the shares reserved for a member that has registered again.
    pub fn member_returned(&mut self, member: &str) {
        self.former.retain(|f| f.member != member);
    }

    fn reserved_for_former(&self, workspace: &str) -> u64 {
        let shares = self.former.iter().flat_map(|f| &f.shares);
        shares
            .filter(|(w, _)| w == workspace)
            .map(|(_, ppm)| ppm)
            .sum()
    }

    /// The shares that apply now, in parts per million.
    pub fn current(&self) -> impl Iterator<Item = (&CompactString, u64)> {
        self.shares.iter().map(|s| (&s.workspace, s.ppm))
    }

    fn share_mut(&mut self, workspace: &str) -> &mut Share {
        let at = self
            .shares
            .binary_search_by(|s| s.workspace.as_str().cmp(workspace));
        let at = at.unwrap_or_else(|at| {
            self.shares.insert(at, Share::new(workspace));
            at
        });
        &mut self.shares[at]
    }
}

impl Share {
    fn new(workspace: &str) -> Self {
        Self {
            workspace: workspace.into(),
            ppm: 0,
            full_ppm: 0,
            raise: None,
            is_new: true,
        }
    }

    /// Moves towards a target share. A smaller one, a small raise and the first share
    /// apply at once; other raises apply after `RAISE_DELAY`, up to the smallest target
    /// in that time. Returns whether the share changed.
    fn approach(&mut self, now: Millis, target: u64) -> bool {
        let is_small = target.saturating_sub(self.ppm) <= SMALL_RAISE_PPM;
        if is_small || std::mem::take(&mut self.is_new) {
            self.raise = None;
            let has_changed = target != self.ppm;
            self.ppm = target;
            return has_changed;
        }
        let raise = self.raise.get_or_insert(PendingRaise {
            ppm: target,
            since: now,
        });
        // The smallest target during the delay is what all others have left free.
        raise.ppm = raise.ppm.min(target);
        if now.since(raise.since) < RAISE_DELAY {
            return false;
        }
        let has_changed = raise.ppm > self.ppm;
        self.ppm = self.ppm.max(raise.ppm);
        self.raise = None;
        has_changed
    }
}

/// The share of one gateway in parts per million, in proportion to its demand plus a
/// base that is the same for all. A member that has not reported counts with an even
/// split of the rate instead.
fn share_of(limit: &Limit, own: &MemberUsage, others: &[MemberUsage]) -> u64 {
    let members = others.len() as u64 + 1;
    let even_split = limit.rate.max(1) / members;
    let base = (limit.rate / members / BASE_DEMAND_DIVISOR).max(1);
    let asked = |one: &MemberUsage| {
        let Some(limits) = &one.limits else {
            return even_split;
        };
        let at = limits.binary_search_by(|u| u.workspace.cmp(&limit.workspace));
        base + at.map_or(0, |at| limits[at].asked_per_s)
    };
    let own_asked = asked(own);
    let total_asked = own_asked + others.iter().map(asked).sum::<u64>();
    (u128::from(WHOLE_PPM) * u128::from(own_asked) / u128::from(total_asked.max(1))) as u64
}
