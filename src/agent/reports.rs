//! The agent's reports to its gateways.

use std::rc::Rc;
use std::time::Duration;

use quinn::SendStream;
use tokio::time::sleep;

use super::Agent;
use crate::clock::Millis;
use crate::transport::write_frame;
use crate::wire::{AgentReport, AgentStatus};

/// Interval at which the status is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval before a report in which only the load changed.
const LOAD_REPORT_INTERVAL: Millis = Millis(250);

impl Agent {
    /// Sends reports until the stream to the gateway fails.
    pub(super) async fn send_reports(self: Rc<Self>, mut tx: SendStream) {
        let mut sent: Option<AgentStatus> = None;
        let mut sent_at = Millis::ZERO;
        loop {
            let status = self.status();
            let is_load_report_due = self.now().since(sent_at) >= LOAD_REPORT_INTERVAL;
            if let Some(report) = next_report(sent.as_ref(), &status, is_load_report_due) {
                if write_frame(&mut tx, &report).await.is_err() {
                    return;
                }
                sent = Some(status);
                sent_at = self.now();
            }
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// The next report to send, given the status that was sent last.
fn next_report(
    sent: Option<&AgentStatus>,
    status: &AgentStatus,
    is_load_report_due: bool,
) -> Option<AgentReport> {
    let Some(sent) = sent else {
        return Some(AgentReport::Full(status.clone()));
    };
    let (running, waiting) = (status.running, status.waiting);
    let mut with_load = sent.clone();
    (with_load.running, with_load.waiting) = (running, waiting);
    if with_load != *status {
        return Some(AgentReport::Full(status.clone()));
    }
    let is_same_load = (sent.running, sent.waiting) == (running, waiting);
    (is_load_report_due && !is_same_load).then_some(AgentReport::Load { running, waiting })
}
