//! The numbers of a stream's events, which show whether a part follows the one before.

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

/// The position in a stream whose events are numbered in rising order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Numbering {
    last_id: Option<CompactString>,
    /// The last identifier as a number; `None` if it is none.
    last: Option<u64>,
    /// By how much its numbers rise; `None` before two events in a row.
    step: Option<Step>,
    /// The same of like streams.
    usual: Step,
    is_at_part_start: bool,
    /// Whether the last event had no identifier.
    is_unnamed: bool,
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

    /// Begins a part: another endpoint writes from here on.
    pub fn begin_part(&mut self) {
        self.is_at_part_start = true;
    }

    /// Moves on by an event with this identifier. The position stays if it is out of turn.
    pub fn advance(&mut self, id: Option<&str>) -> Result<(), OutOfTurn> {
        let number = id.and_then(parse);
        match (self.last, number) {
            (Some(last), None) if self.is_at_part_start => {
                return Err(OutOfTurn::Unnumbered { last });
            }
            (Some(last), Some(number)) => {
                self.check(last, number)?;
                if !self.is_at_part_start {
                    self.observe(number - last);
                }
            }
            _ => {}
        }
        self.is_unnamed = id.is_none();
        if let Some(id) = id {
            self.last_id = Some(id.into());
            self.last = number;
        }
        self.is_at_part_start = false;
        Ok(())
    }

    fn observe(&mut self, rise: u64) {
        let rise = Step::Even(rise);
        let is_even = self.step.is_none_or(|step| step == rise);
        self.step = Some(if is_even { rise } else { Step::Uneven });
    }

    /// An endpoint may leave numbers out. Only where parts join is that a gap.
    fn check(&self, last: u64, number: u64) -> Result<(), OutOfTurn> {
        if number <= last {
            return Err(OutOfTurn::Repeated { last, number });
        }
        let rise = Step::Even(number - last);
        let is_next = match self.step {
            Some(step) => step == Step::Uneven || step == rise,
            None => self.usual == Step::Uneven || rise == self.usual || rise == Step::default(),
        };
        if self.is_at_part_start && !is_next {
            return Err(OutOfTurn::Gap { last, number });
        }
        Ok(())
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
