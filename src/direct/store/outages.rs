//! Finds out that the store was away, and which open calls can get no response any more.
//!
//! A store that falls silent answers nothing on a connection on which it lost a response. A call
//! that may wait for long, such as a watch, looks the same then as one to which nothing has
//! happened. Other calls tell them apart: one got no response, and one that was sent after it was
//! answered. Whatever was sent before the latter is overtaken by the outage in between.

/// The number of a call, in the order of sending. The first one is 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallNumber(u64);

/// What the ends of calls show of outages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outages {
    last_sent: CallNumber,
    /// The latest call that was answered.
    last_answered: CallNumber,
    /// The latest call without a response that none answered since was sent after.
    lost: Option<CallNumber>,
    /// Calls before this one are overtaken.
    overtaken_before: CallNumber,
}

impl Outages {
    /// A call is sent.
    pub fn call_sent(&mut self) -> CallNumber {
        self.last_sent = CallNumber(self.last_sent.0 + 1);
        self.last_sent
    }

    /// A call got no response. That shows nothing new if one sent after it was answered.
    pub fn call_lost(&mut self, call: CallNumber) {
        if call > self.last_answered {
            self.lost = self.lost.max(Some(call));
        }
    }

    /// The store carried out a call. Returns whether that ends an outage, so that calls are
    /// overtaken that were not before.
    pub fn call_answered(&mut self, call: CallNumber) -> bool {
        self.last_answered = self.last_answered.max(call);
        let has_ended = self.lost.is_some_and(|lost| lost < call);
        if has_ended {
            self.lost = None;
            self.overtaken_before = call;
        }
        has_ended
    }

    /// Whether a call that has no response yet will get none.
    pub fn is_overtaken(&self, call: CallNumber) -> bool {
        call < self.overtaken_before
    }
}
