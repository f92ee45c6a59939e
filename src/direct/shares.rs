//! Which part of each workspace's limit a gateway may use.
//!
//! Every gateway works out the same division from the same numbers: what each
//! member reported that its callers ask for. A part that shrinks is taken away
//! at once, one that grows is used only after the others have certainly heard
//! of it. Nobody's part grows while a registered member is silent, since that
//! one may see the same rise and count it for itself.
//!
//! A member whose registration ended may run on unreached. It keeps half of the
//! part that it had; the others divide the rest. A gateway that cannot renew its
//! registration and hears only a minority halves its parts for that reason.

use compact_str::CompactString;

use super::gossip::WorkspaceUse;
use crate::bucket::WHOLE_PPM;
use crate::clock::Millis;

/// How long a larger part waits: a report and the way between zones.
const RAISE_DELAY: Millis = Millis(300);
/// A raise up to this is taken at once, in parts per million: it comes with the
/// others' small cuts that they learn of in the same moment, and waiting for
/// each would keep the sum below the whole.
const SMALL_RAISE_PPM: u64 = 20_000;
/// Part of the limit that is divided evenly whatever callers ask for, so that a
/// gateway whose callers come back finds room: one in this many.
const EVEN_SHARE_DIVISOR: u64 = 5;
/// What a member that is cut off keeps of its parts: one in this many.
const CUT_OFF_DIVISOR: u64 = 2;
/// How long parts are kept for a former member: longer than the outages that
/// keep it from registering again.
const FORMER_LIFETIME: Millis = Millis(15_000);

/// What one member asks for.
#[derive(Clone, Debug, Default)]
pub struct MemberUse {
    /// Uses in ascending order of workspace; `None` before the first report.
    pub uses: Option<Vec<WorkspaceUse>>,
    /// Whether the report is recent.
    pub is_fresh: bool,
}

#[derive(Clone, Debug)]
struct PendingRaise {
    ppm: u64,
    since: Millis,
}

#[derive(Clone, Debug)]
struct Share {
    workspace: CompactString,
    /// In force now, in parts per million.
    ppm: u64,
    /// The same before a cut-off gateway gives up half of it.
    full_ppm: u64,
    raise: Option<PendingRaise>,
    /// Whether it was never set: a newcomer's bucket is empty, so that it takes
    /// no more before the others have made room than a few requests.
    is_new: bool,
}

/// Parts that are kept for a member whose registration ended.
#[derive(Clone, Debug)]
struct FormerMember {
    member: CompactString,
    since: Millis,
    /// Parts in parts per million, by workspace.
    shares: Vec<(CompactString, u64)>,
}

/// The parts of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    shares: Vec<Share>,
    former: Vec<FormerMember>,
}

/// A workspace's limit, as far as the division needs it.
#[derive(Clone, Debug)]
pub struct Limit {
    /// The workspace.
    pub workspace: CompactString,
    /// Tokens a second.
    pub rate: u64,
}

impl Shares {
    /// Works out the parts anew and returns those that changed.
    pub fn divide(
        &mut self,
        now: Millis,
        limits: &[Limit],
        own: &MemberUse,
        others: &[MemberUse],
        is_cut_off: bool,
    ) -> Vec<(CompactString, u64)> {
        self.shares
            .retain(|s| limits.iter().any(|l| l.workspace == s.workspace));
        self.former.retain(|f| now.since(f.since) < FORMER_LIFETIME);
        let hears_all = others.iter().all(|one| one.is_fresh);
        let mut changed = Vec::new();
        for limit in limits {
            let free = WHOLE_PPM.saturating_sub(self.reserved_for_former(&limit.workspace));
            let mut wanted = share_of(limit, own, others) * free / WHOLE_PPM;
            let share = self.share_mut(&limit.workspace);
            if !hears_all && !share.is_new {
                wanted = wanted.min(share.full_ppm);
            }
            share.full_ppm = wanted;
            if is_cut_off {
                wanted /= CUT_OFF_DIVISOR;
            }
            if share.approach(now, wanted) {
                changed.push((share.workspace.clone(), share.ppm));
            }
        }
        changed
    }

    /// Keeps half of the parts of a member whose registration ended.
    pub fn member_left(
        &mut self,
        now: Millis,
        member: CompactString,
        limits: &[Limit],
        usage: &MemberUse,
        remaining: &[MemberUse],
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

    /// Releases what was kept for a member that is registered again.
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

    /// The parts in force, in parts per million.
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

    /// Moves to a wanted part: down at once, up once it stood long enough.
    fn approach(&mut self, now: Millis, wanted: u64) -> bool {
        let is_small = wanted.saturating_sub(self.ppm) <= SMALL_RAISE_PPM;
        if is_small || std::mem::take(&mut self.is_new) {
            self.raise = None;
            let has_changed = wanted != self.ppm;
            self.ppm = wanted;
            return has_changed;
        }
        let raise = self.raise.get_or_insert(PendingRaise {
            ppm: wanted,
            since: now,
        });
        // The least that was wanted throughout is what all others left free.
        raise.ppm = raise.ppm.min(wanted);
        if now.since(raise.since) < RAISE_DELAY {
            return false;
        }
        let has_changed = raise.ppm > self.ppm;
        self.ppm = self.ppm.max(raise.ppm);
        self.raise = None;
        has_changed
    }
}

/// The part of one gateway: an even part, and the rest by what is asked for.
/// A member that has not reported counts with an even part of the rate.
fn share_of(limit: &Limit, own: &MemberUse, others: &[MemberUse]) -> u64 {
    let members = others.len() as u64 + 1;
    let even = limit.rate.max(1) / members;
    let floor = (limit.rate / members / EVEN_SHARE_DIVISOR).max(1);
    let asked = |one: &MemberUse| {
        let Some(uses) = &one.uses else {
            return even;
        };
        let at = uses.binary_search_by(|u| u.workspace.cmp(&limit.workspace));
        floor + at.map_or(0, |at| uses[at].asked_per_s)
    };
    let own_asked = asked(own);
    let total_asked = own_asked + others.iter().map(asked).sum::<u64>();
    (u128::from(WHOLE_PPM) * u128::from(own_asked) / u128::from(total_asked.max(1))) as u64
}
