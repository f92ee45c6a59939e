//! Tests of the agent's queue: its bounds hold, no request is lost, interactive
//! requests go before batch, and a noisy workspace delays only itself.

use proptest::prelude::*;
use rattanstall::agent::queue::{Queue, QueueRequest, Ticket};
use rattanstall::clock::Millis;
use rattanstall::code::Code;
use rattanstall::config::Urgency;

fn request(workspace: &str, urgency: Urgency, deadline: u64) -> QueueRequest {
    QueueRequest {
        workspace: workspace.into(),
        urgency,
        deadline: Millis(deadline),
        cost: 10,
    }
}

#[test]
fn a_full_queue_evicts_batch_for_interactive_requests() {
    let mut queue = Queue::new(1, 2);
    let now = Millis::ZERO;
    queue
        .push(now, request("w", Urgency::Batch, 60_000))
        .unwrap();
    let running = queue.start_next().unwrap();
    let kept = queue
        .push(now, request("w", Urgency::Batch, 50_000))
        .unwrap();
    let last = queue
        .push(now, request("w", Urgency::Batch, 60_000))
        .unwrap();
    let first = queue
        .push(now, request("w", Urgency::Interactive, 1_000))
        .unwrap();
    let evicted = queue.take_evicted();
    assert_eq!(evicted.len(), 1);
    assert_eq!((evicted[0].0, evicted[0].1.code), (last, Code::Busy));
    // A new request that would run last is itself refused.
    let refused = queue.push(now, request("w", Urgency::Batch, 70_000));
    assert_eq!(refused.unwrap_err().code, Code::Busy);
    assert_eq!((queue.running(), queue.waiting()), (1, 2));
    queue.finish(running, None);
    assert_eq!(queue.start_next(), Some(first));
    queue.finish(first, None);
    assert_eq!(queue.start_next(), Some(kept));
}

#[test]
fn a_noisy_workspace_delays_itself() {
    let mut queue = Queue::new(1, 100);
    let now = Millis::ZERO;
    for _ in 0..50 {
        queue
            .push(now, request("noisy", Urgency::Interactive, 10_000))
            .unwrap();
    }
    for _ in 0..10 {
        let ticket = queue.start_next().unwrap();
        queue.finish(ticket, None);
    }
    let quiet: Vec<Ticket> = (0..2)
        .map(|_| {
            queue
                .push(now, request("quiet", Urgency::Interactive, 20_000))
                .unwrap()
        })
        .collect();
    let order: Vec<Ticket> = std::iter::from_fn(|| {
        let ticket = queue.start_next()?;
        queue.finish(ticket, None);
        Some(ticket)
    })
    .collect();
    let position = |ticket: &Ticket| order.iter().position(|t| t == ticket).unwrap();
    // The two workspaces alternate from here on, the noisy one first.
    assert!(quiet.iter().map(position).max().unwrap() < 4, "{order:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn bounds_hold_and_no_request_is_lost(
        max_running in 1usize..4,
        max_waiting in 0usize..6,
        steps in prop::collection::vec((0u8..4, 0usize..3, any::<bool>(), 0u64..3_000), 1..200),
    ) {
        let mut queue = Queue::new(max_running, max_waiting);
        let (mut now, mut waiting, mut running) = (Millis::ZERO, Vec::new(), Vec::new());
        for (kind, workspace, is_batch, span) in steps {
            let urgency = if is_batch { Urgency::Batch } else { Urgency::Interactive };
            match kind {
                0 | 1 => {
                    let deadline = now.0 + span;
                    let pushed = queue.push(now, request(&format!("w{workspace}"), urgency, deadline));
                    waiting.extend(pushed.ok());
                    for (evicted, _) in queue.take_evicted() {
                        prop_assert!(waiting.contains(&evicted));
                        waiting.retain(|t| *t != evicted);
                    }
                }
                2 => {
                    while let Some(ticket) = queue.start_next() {
                        prop_assert!(waiting.contains(&ticket));
                        waiting.retain(|t| *t != ticket);
                        running.push(ticket);
                    }
                }
                _ => {
                    now = now + Millis(span);
                    if let Some(ticket) = running.pop() {
                        queue.finish(ticket, Some(Millis(span)));
                    }
                }
            }
            prop_assert_eq!((queue.running(), queue.waiting()), (running.len(), waiting.len()));
            prop_assert!(running.len() <= max_running);
        }
    }
}
