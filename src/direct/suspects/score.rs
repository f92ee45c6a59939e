//! How strongly the evidence speaks against a part.

use compact_str::CompactString;

use super::ties::{Tie, refused_among, tie_of};
use super::{Crash, Evidence, PartId};
use crate::clock::Millis;

/// Crashes that follow each other within this time may have one common cause, such as
/// a loss of power, and count as one until all reports of them have arrived.
const MOMENT_GAP: Millis = Millis(10);
/// How long reports of a crash may take. Afterwards it is known which crashes at the
/// same moment have a part in common, and a crash this much later has another cause.
pub(super) const SETTLE_TIME: Millis = Millis(120);
/// The most that one moment counts: one common cause never blocks a part.
const MAX_MOMENT_WEIGHT: usize = CRASHES_TO_BLOCK - 1;
/// Moments that follow each other within this time belong to one episode, such as
/// endpoints that are killed one after the other.
const EPISODE_GAP: Millis = Millis(100);
/// A part is suspect in an episode only if it is in one of this many of its moments.
const MOMENTS_PER_SUSPECT: usize = 3;
/// Crashes that a part has to explain before it is blocked.
const CRASHES_TO_BLOCK: usize = 3;
/// The same for a part with which answers got under way shortly before.
const CRASHES_TO_BLOCK_PROVEN: usize = 5;
/// How long before its first crash an answer counts as shortly before.
const PROVEN_LIFETIME: Millis = Millis(60_000);

/// A part that is to be blocked.
pub(super) struct Accused {
    pub(super) part: PartId,
    /// When the last crash ended an endpoint.
    pub(super) last: Millis,
    /// The endpoints that ended.
    pub(super) ended: Vec<CompactString>,
}

/// How well a part explains crashes; the greatest is the best explanation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Answers that got under way shortly before speak for a part.
    is_unproven: bool,
    /// Crashes that count.
    counted: usize,
    /// All crashes.
    crashes: usize,
}

/// The parts that explain crashes best, if they explain enough of them to be blocked.
pub(super) fn accused(now: Millis, evidence: &Evidence) -> Vec<Accused> {
    let timeline = Timeline::of_unexplained(now, evidence);
    let mut occurrences = timeline.occurrences();
    occurrences.sort_unstable();
    let by_part = occurrences.chunk_by(|a, b| a.0 == b.0);
    let frequent = by_part.filter(|chunk| chunk.len() >= CRASHES_TO_BLOCK);
    let mut scored: Vec<(Score, &[(PartId, usize)])> = frequent
        .filter_map(|chunk| Some((timeline.score(evidence, chunk)?, chunk)))
        .collect();
    let best = scored.iter().map(|(score, _)| *score).max();
    scored.retain(|(score, _)| Some(*score) == best);
    let accused = scored.into_iter().map(|(_, chunk)| {
        let crashes = chunk.iter().map(|(_, index)| timeline.crashes[*index]);
        let mut ended: Vec<CompactString> = crashes.clone().map(|c| c.endpoint.clone()).collect();
        // All gateways name the same crashes alike, whichever they heard of first.
        ended.sort_unstable();
        Accused {
            part: chunk[0].0,
            last: crashes.map(|c| c.at).max().unwrap_or(now),
            ended,
        }
    });
    accused.collect()
}

/// Crashes that no block explains. A crash with some parts of a tie, but not with all, tells
/// them apart: it is compared with those for which they were blocked.
fn unexplained(evidence: &Evidence) -> Vec<&Crash> {
    let (blocked, ties) = (evidence.blocked(), evidence.ties());
    let explaining = |c: &Crash| refused_among(&blocked, &ties, &c.parts);
    let mut crashes: Vec<&Crash> = evidence.crashes.iter().collect();
    let open = crashes.iter().filter(|c| explaining(c).is_empty());
    let contested = open.flat_map(|c| c.parts.iter().filter_map(|part| tie_of(&ties, *part)));
    let contested: Vec<&Tie> = contested.collect();
    let is_contested = |part: &PartId| contested.iter().any(|tie| tie.contains(part));
    crashes.retain(|c| explaining(c).iter().all(is_contested));
    crashes
}

/// Crashes at about the same time.
struct Moment {
    crashes: usize,
    /// Whether all reports have had time to arrive.
    is_settled: bool,
    episode: usize,
}

/// Crashes that no blocked part explains, by time.
struct Timeline<'a> {
    crashes: Vec<&'a Crash>,
    /// The moment of each crash.
    moment_of: Vec<usize>,
    moments: Vec<Moment>,
    /// The number of moments in each episode.
    episodes: Vec<usize>,
}

impl<'a> Timeline<'a> {
    fn of_unexplained(now: Millis, evidence: &'a Evidence) -> Self {
        let mut crashes = unexplained(evidence);
        crashes.sort_unstable_by_key(|c| (c.at, c.id));
        let mut moment_of = Vec::with_capacity(crashes.len());
        let mut moments: Vec<Moment> = Vec::new();
        let mut episodes: Vec<usize> = Vec::new();
        let mut previous: Option<Millis> = None;
        for moment in crashes.chunk_by(|a, b| b.at.since(a.at) <= MOMENT_GAP) {
            let (first, last) = (moment[0].at, moment[moment.len() - 1].at);
            if previous.is_none_or(|at| first.since(at) > EPISODE_GAP) {
                episodes.push(0);
            }
            let episode = episodes.len() - 1;
            episodes[episode] += 1;
            moment_of.resize(moment_of.len() + moment.len(), moments.len());
            moments.push(Moment {
                crashes: moment.len(),
                is_settled: now.since(last) > SETTLE_TIME,
                episode,
            });
            previous = Some(last);
        }
        Self {
            crashes,
            moment_of,
            moments,
            episodes,
        }
    }

    /// Each part with the index of each crash that it is in.
    fn occurrences(&self) -> Vec<(PartId, usize)> {
        let crashes = self.crashes.iter().enumerate();
        crashes
            .flat_map(|(index, c)| c.parts.iter().map(move |part| (*part, index)))
            .collect()
    }

    /// How well the part of these occurrences explains crashes, if well enough.
    fn score(&self, evidence: &Evidence, occurrences: &[(PartId, usize)]) -> Option<Score> {
        let (part, first) = *occurrences.first()?;
        let first = self.crashes[first].at;
        let is_unproven = evidence
            .progress_of(part)
            .is_none_or(|at| first.since(at) >= PROVEN_LIFETIME);
        let (mut counted, mut with, mut all) = (0, 0, 0);
        let mut last_episode = None;
        let moment_of = |occurrence: &(PartId, usize)| self.moment_of[occurrence.1];
        for chunk in occurrences.chunk_by(|a, b| moment_of(a) == moment_of(b)) {
            let moment = &self.moments[moment_of(&chunk[0])];
            let others = moment.crashes - chunk.len();
            counted += match is_unproven && moment.is_settled {
                true => chunk
                    .len()
                    .saturating_sub(others)
                    .clamp(1, MAX_MOMENT_WEIGHT),
                false => 1,
            };
            with += 1;
            if last_episode != Some(moment.episode) {
                all += self.episodes[moment.episode];
                last_episode = Some(moment.episode);
            }
        }
        let needed = match is_unproven {
            true => CRASHES_TO_BLOCK,
            false => CRASHES_TO_BLOCK_PROVEN,
        };
        let last = occurrences.iter().map(|(_, index)| self.crashes[*index].at);
        let span = last.max()?.since(first);
        let is_accused =
            counted >= needed && with * MOMENTS_PER_SUSPECT >= all && span >= SETTLE_TIME;
        is_accused.then_some(Score {
            is_unproven,
            counted,
            crashes: occurrences.len(),
        })
    }
}
