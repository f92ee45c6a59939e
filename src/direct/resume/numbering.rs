//! The numbers of a stream's events, which show whether a part follows the one before.
//!
//! Endpoints promise no more than that numbers increase. By how much they do is known from the
//! stream itself, or from the next events of the part that is to be joined.

use compact_str::CompactString;

/// Why an event does not follow the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OutOfTurn {
    /// Its number is not above the last one.
    #[error("event {number} after event {last}")]
    Repeated {
        /// Number of the last event.
        last: u64,
        /// Number of this event.
        number: u64,
    },
    /// Events between the last one and this one are missing.
    #[error("a gap between event {last} and event {number}")]
    Gap {
        /// Number of the last event.
        last: u64,
        /// Number of this event.
        number: u64,
    },
    /// It has no number, unlike those of the part before.
    #[error("an event without a number after event {last}")]
    Unnumbered {
        /// Number of the last event.
        last: u64,
    },
}

impl OutOfTurn {
    /// The name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Repeated { .. } => "repeated",
            Self::Gap { .. } => "gap",
            Self::Unnumbered { .. } => "unnumbered",
        }
    }
}

/// By how much numbers rise from one event of an endpoint to its next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// By the same number each time.
    Even(u64),
    /// By various numbers.
    Uneven,
}

impl Default for Step {
    fn default() -> Self {
        Self::Even(1)
    }
}

/// The first events of a part, as long as they may be the next ones or lie behind a gap.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Undecided {
    /// The number of the last event before the part.
    last: u64,
    /// Identifiers and numbers, in their order.
    events: Vec<(CompactString, u64)>,
}

impl Undecided {
    /// By how much each number lies above the one before.
    fn rises(&self) -> Vec<u64> {
        let numbers = self.events.iter().map(|(_, number)| *number);
        let before = std::iter::once(self.last).chain(numbers.clone());
        numbers
            .zip(before)
            .map(|(number, before)| number - before)
            .collect()
    }

    fn gap(&self) -> OutOfTurn {
        OutOfTurn::Gap {
            last: self.last,
            number: self.events[0].1,
        }
    }
}

/// What the first event of a part is to the last one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Join {
    Next,
    Gap,
    Undecided,
}

/// The position in a stream whose events are numbered in rising order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Numbering {
    last_id: Option<CompactString>,
    /// The last identifier as a number; `None` if it is none.
    last: Option<u64>,
    /// By how much its numbers rise; `None` before two events in a row.
    step: Option<Step>,
    /// Whether that was seen more than once.
    is_step_confirmed: bool,
    /// The same of like streams.
    usual: Step,
    is_at_part_start: bool,
    /// Whether the last event had no identifier.
    is_unnamed: bool,
    undecided: Option<Undecided>,
}

impl Numbering {
    /// The position after an event, of which `None` is the beginning of a stream. `usual`
    /// tells how the numbers of like streams rise.
    pub fn after(last_id: Option<CompactString>, usual: Step) -> Self {
        Self {
            last: last_id.as_deref().and_then(parse),
            last_id,
            usual,
            is_at_part_start: true,
            ..Self::default()
        }
    }

    /// The identifier of the last event that has one.
    pub fn last_id(&self) -> Option<&CompactString> {
        self.last_id.as_ref()
    }

    /// By how much the numbers of this stream rise; `None` before an endpoint has written two
    /// events.
    pub fn step(&self) -> Option<Step> {
        self.step
    }

    /// Whether the last event can be named to another endpoint, which otherwise repeats it.
    pub fn is_resumable(&self) -> bool {
        !self.is_unnamed
    }

    /// Whether the first events of a part are not decided on. The position does not count them yet.
    pub fn is_undecided(&self) -> bool {
        self.undecided.is_some()
    }

    /// Forgets events that are not decided on and will not be passed on.
    pub fn drop_undecided(&mut self) {
        self.undecided = None;
    }

    /// Begins a part: another endpoint writes from here on.
    pub fn begin_part(&mut self) {
        self.is_at_part_start = true;
        self.undecided = None;
    }

    /// Moves on by an event with this identifier. The position stays if it is out of turn.
    pub fn advance(&mut self, id: Option<&str>) -> Result<(), OutOfTurn> {
        let number = id.and_then(parse);
        match (self.undecided.take(), number) {
            (Some(part), Some(number)) => return self.extend(part, id.unwrap_or_default(), number),
            (Some(part), None) => self.settle(part)?,
            (None, _) if self.is_at_part_start && self.last.is_some() => {
                return self.join(id.unwrap_or_default(), number);
            }
            (None, _) => {}
        }
        if let (Some(last), Some(number)) = (self.last, number) {
            check_rising(last, number)?;
            self.observe(number - last);
        }
        self.is_unnamed = id.is_none();
        if let Some(id) = id {
            self.last_id = Some(id.into());
            self.last = number;
        }
        self.is_at_part_start = false;
        Ok(())
    }

    /// Decides on the first events of a part after which nothing more comes.
    pub fn end_part(&mut self) -> Result<(), OutOfTurn> {
        let part = self.undecided.take();
        part.map_or(Ok(()), |part| self.settle(part))
    }

    /// Moves on by the first event of a part.
    fn join(&mut self, id: &str, number: Option<u64>) -> Result<(), OutOfTurn> {
        let Some(last) = self.last else {
            return Ok(());
        };
        let number = number.ok_or(OutOfTurn::Unnumbered { last })?;
        let part = Undecided {
            last,
            events: Vec::new(),
        };
        self.extend(part, id, number)
    }

    /// Moves on by a further event of a part that is not decided on.
    fn extend(&mut self, mut part: Undecided, id: &str, number: u64) -> Result<(), OutOfTurn> {
        let before = part.events.last().map_or(part.last, |(_, number)| *number);
        check_rising(before, number)?;
        part.events.push((id.into(), number));
        match self.judge(&part.rises()) {
            Join::Next => self.accept(part),
            Join::Gap => return Err(part.gap()),
            Join::Undecided => self.undecided = Some(part),
        }
        Ok(())
    }

    /// Decides on the first events of a part by these alone.
    fn settle(&mut self, part: Undecided) -> Result<(), OutOfTurn> {
        let is_next = match (part.rises().as_slice(), self.step) {
            ([rise], Some(Step::Even(step))) => !is_multiple(*rise, step),
            // Even numbers that count from 0 are all multiples of their step.
            ([rise], _) => part.last.is_multiple_of(*rise),
            _ => false,
        };
        if !is_next {
            return Err(part.gap());
        }
        self.accept(part);
        Ok(())
    }

    fn accept(&mut self, part: Undecided) {
        self.is_at_part_start = false;
        self.is_unnamed = false;
        for (at, (id, number)) in part.events.into_iter().enumerate() {
            if let Some(last) = self.last.filter(|_| at > 0) {
                self.observe(number - last);
            }
            self.last_id = Some(id);
            self.last = Some(number);
        }
    }

    /// Decides on the first events of a part, whose numbers rise like this. An endpoint may leave
    /// numbers out; only where parts join may that be a gap.
    fn judge(&self, rises: &[u64]) -> Join {
        let known = match self.step {
            None if rises[0] == 1 => return Join::Next,
            None => self.usual,
            Some(step) => step,
        };
        if known == Step::Uneven || known == Step::Even(rises[0]) {
            return Join::Next;
        }
        match (self.step, rises) {
            (Some(_), _) if self.is_step_confirmed => Join::Gap,
            (_, [_]) => Join::Undecided,
            // Two rises alike show that the stream is even, and the one at the join is another.
            (Some(step), [_, next, ..]) if step == Step::Even(*next) => Join::Gap,
            (None, [rise, next]) if is_multiple(*rise, *next) => Join::Undecided,
            (None, [rise, next, third, ..]) if is_multiple(*rise, *next) && next == third => {
                Join::Gap
            }
            _ => Join::Next,
        }
    }

    fn observe(&mut self, rise: u64) {
        let rise = Step::Even(rise);
        self.is_step_confirmed = self.step == Some(rise);
        let is_even = self.step.is_none_or(|step| step == rise);
        self.step = Some(if is_even { rise } else { Step::Uneven });
    }
}

/// Whether an even stream of this step would leave numbers out at such a rise.
fn is_multiple(rise: u64, step: u64) -> bool {
    rise > step && rise.is_multiple_of(step)
}

fn check_rising(last: u64, number: u64) -> Result<(), OutOfTurn> {
    match number > last {
        true => Ok(()),
        false => Err(OutOfTurn::Repeated { last, number }),
    }
}

fn parse(id: &str) -> Option<u64> {
    id.parse().ok()
}

/// How the numbers of services' streams usually rise.
#[derive(Clone, Debug, Default)]
pub struct UsualSteps {
    /// By service, sorted.
    by_service: Vec<(CompactString, Step)>,
}

impl UsualSteps {
    /// How the numbers of the service's latest complete stream rose, if there was one.
    pub fn get(&self, service: &str) -> Step {
        let at = self.find(service).ok();
        at.map(|at| self.by_service[at].1).unwrap_or_default()
    }

    /// Records how the numbers of a complete stream rose.
    pub fn record(&mut self, service: &CompactString, step: Step) {
        match self.find(service) {
            Ok(at) => self.by_service[at].1 = step,
            Err(at) => self.by_service.insert(at, (service.clone(), step)),
        }
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        let services = &self.by_service;
        services.binary_search_by(|(name, _)| name.as_str().cmp(service))
    }
}
