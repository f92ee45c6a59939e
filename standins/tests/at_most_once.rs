//! A call that must not be retried runs at most once, whichever component fails
//! between its acceptance and its response, and a refusal that says "not run" is
//! correct.

use std::path::Path;
use std::time::Duration;

use rattanstall::config::Document;
use rattanstall_standins::caller::{Caller, ReceivedResponse, RequestOptions};
use rattanstall_standins::faults::Faults;
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use rattanstall_standins::service::ServiceRun;
use rustix::process::Signal;
use serde_json::json;

/// Duration of a call at the service, in milliseconds; long enough for a failure
/// to happen while the call runs.
const WORK_MS: u64 = 400;
/// Time from sending a call until it is running at the service.
const HALF_WAY_DELAY: Duration = Duration::from_millis(150);

struct TestFleet {
    fleet: Fleet,
    key: String,
}

impl TestFleet {
    async fn start(services: usize) -> Self {
        let service = ("orders".to_owned(), WORK_MS);
        let builder = FleetBuilder::default().engines(0).models(0);
        let fleet = builder.services(vec![service; services]).start();
        let fleet = fleet.expect("the fleet starts");
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/ostekaelderen.toml");
        fleet
            .apply(Document::read(&file).expect("a valid file"))
            .await;
        let key = fleet.create_key("aarhus-packing").await.secret;
        fleet.wait_ready().await;
        Self { fleet, key }
    }

    fn caller(&self, gateway: usize) -> Caller {
        Caller::new(self.fleet.gateways[gateway].listen)
    }

    /// Sends an order in the background.
    fn order(
        &self,
        gateway: usize,
        idempotency_key: Option<&'static str>,
        order: u64,
    ) -> tokio::task::JoinHandle<Option<ReceivedResponse>> {
        let (caller, key) = (self.caller(gateway), self.key.clone());
        tokio::spawn(async move {
            let options = RequestOptions {
                key: Some(&key),
                idempotency_key,
                class: None,
            };
            caller
                .post("/orders/new", &options, &json!({ "order": order }))
                .await
                .ok()
        })
    }

    async fn set_platform_faults(&self, faults: Faults) {
        Caller::new(self.fleet.platform.listen)
            .set_faults(&faults)
            .await;
    }

    /// Retries an order whose claim the gateway gave up. The claim is marked as
    /// not run once the platform responds again, and the next retry then runs.
    async fn retry_until_done(&self, idempotency_key: &'static str, order: u64) {
        let mut last = None;
        for _ in 0..50 {
            let res = self
                .order(2, Some(idempotency_key), order)
                .await
                .unwrap()
                .unwrap();
            if res.status == 200 {
                return;
            }
            last = Some(res);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        panic!("no retry succeeded: {last:?}");
    }

    /// Returns the number of runs of an order at all running services. Runs before a
    /// service's restart are not counted.
    async fn runs(&self, order: u64) -> usize {
        let mut count = 0;
        for endpoint in self.fleet.endpoints.iter().filter(|e| e.pid().is_some()) {
            let runs = Caller::new(endpoint.listen).get("/control/runs").await;
            let runs: Vec<ServiceRun> = serde_json::from_value(runs.unwrap_or_default()).unwrap();
            let body = json!({ "order": order }).to_string();
            count += runs.iter().filter(|run| run.body == body).count();
        }
        count
    }
}

/// Asserts that a response agrees with the number of runs of its call.
fn assert_consistent(res: &ReceivedResponse, runs: usize) {
    assert!(runs <= 1, "ran {runs} times");
    match res.ran().as_str() {
        "no" => assert_eq!(runs, 0, "the refusal says \"not run\": {res:?}"),
        "yes" => assert_eq!(runs, 1, "{res:?}"),
        "unknown" => assert!(res.json()["error"]["request_id"].is_string()),
        _ => {
            assert_eq!(res.status, 200, "{res:?}");
            assert_eq!(runs, 1);
        }
    }
}

#[tokio::test]
async fn a_retry_gets_the_recorded_outcome() {
    let test = TestFleet::start(2).await;
    let first = test.order(0, Some("basket-1"), 1).await.unwrap().unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    tokio::time::sleep(Duration::from_millis(100)).await;
    for gateway in 0..3 {
        let retry = test
            .order(gateway, Some("basket-1"), 1)
            .await
            .unwrap()
            .unwrap();
        assert_eq!(retry.body, first.body);
        assert_eq!(retry.headers["idempotency-replayed"], "true");
    }
    let other = test.order(1, Some("basket-1"), 2).await.unwrap().unwrap();
    assert_eq!((other.code(), other.ran().as_str()), (1009, "no"));
    assert_eq!((test.runs(1).await, test.runs(2).await), (1, 0));

    // Concurrent calls with the same idempotency key at all gateways.
    let calls: Vec<_> = (0..9)
        .map(|n| test.order(n % 3, Some("basket-3"), 3))
        .collect();
    for call in calls {
        assert_consistent(&call.await.unwrap().unwrap(), 1);
    }
    assert_eq!(test.runs(3).await, 1);
}

/// The service has received the call, but its outcome is lost with the agent. A retry must
/// report that the outcome is unknown, and not run the call again.
#[tokio::test]
async fn a_killed_agent_leaves_the_outcome_unknown() {
    let mut test = TestFleet::start(1).await;
    let order = test.order(0, Some("basket-4"), 4);
    tokio::time::sleep(HALF_WAY_DELAY).await;
    test.fleet.agents[0].kill();
    let res = order.await.unwrap().unwrap();
    assert_eq!((res.code(), res.ran().as_str()), (4001, "unknown"));
    assert_consistent(&res, test.runs(4).await);

    test.fleet.restart(|fleet| &mut fleet.agents[0]).unwrap();
    test.fleet.wait_ready().await;
    let retry = test.order(1, Some("basket-4"), 4).await.unwrap().unwrap();
    assert_eq!((retry.code(), retry.ran().as_str()), (4001, "unknown"));
    let request_id = &retry.json()["error"]["request_id"];
    assert_eq!(*request_id, res.json()["error"]["request_id"]);
    assert_eq!(test.runs(4).await, 1);
}

/// The agent still runs the call of the killed gateway. A retry at another gateway
/// must not take over the claim and run the call a second time.
#[tokio::test]
async fn the_claim_of_a_killed_gateway_stays_in_place() {
    let mut test = TestFleet::start(1).await;
    let order = test.order(0, Some("basket-5"), 5);
    tokio::time::sleep(HALF_WAY_DELAY).await;
    test.fleet.gateways[0].kill();
    assert!(
        order.await.unwrap().is_none(),
        "the caller sees a broken connection"
    );
    let retry = test.order(1, Some("basket-5"), 5).await.unwrap().unwrap();
    assert_eq!((retry.code(), retry.ran().as_str()), (4003, "unknown"));
    tokio::time::sleep(Duration::from_millis(WORK_MS)).await;
    assert_eq!(test.runs(5).await, 1);

    // The agent finished the call without the gateway and knows its outcome.
    let id = retry.json()["error"]["request_id"]
        .as_str()
        .unwrap()
        .to_owned();
    let options = RequestOptions {
        key: Some(&test.key),
        ..RequestOptions::default()
    };
    let path = format!("/v1/requests/{id}");
    let outcome = test
        .caller(2)
        .request(http::Method::GET, &path, &options, "")
        .await
        .unwrap();
    assert_eq!(outcome.json()["ok"], true, "{outcome:?}");
}

#[tokio::test]
async fn a_truncated_or_mismatched_response_is_never_taken_as_complete() {
    let test = TestFleet::start(1).await;
    let service = Caller::new(test.fleet.endpoints[0].listen);
    let truncated = Faults {
        cut_answers: 1,
        ..Faults::default()
    };
    service.set_faults(&truncated).await;
    let res = test.order(0, None, 6).await.unwrap().unwrap();
    assert_eq!(res.code(), 4002, "{res:?}");
    assert_consistent(&res, test.runs(6).await);
    let mismatched = Faults {
        crossed_answers: 1,
        ..Faults::default()
    };
    service.set_faults(&mismatched).await;
    let res = test.order(0, None, 7).await.unwrap().unwrap();
    assert_eq!(res.code(), 4005, "{res:?}");
    assert_consistent(&res, test.runs(7).await);
}

#[tokio::test]
async fn a_call_to_a_dead_endpoint_is_refused_as_not_run() {
    let mut test = TestFleet::start(2).await;
    test.fleet.endpoints[0].kill();
    // Agent reports arrive late, so some calls still reach the agent of the dead endpoint.
    for order in 10..20 {
        let res = test.order(0, None, order).await.unwrap().unwrap();
        assert_eq!(res.status, 200, "the other endpoint serves: {res:?}");
        assert_consistent(&res, test.runs(order).await);
    }
    test.fleet.endpoints[1].kill();
    let res = test.order(0, None, 20).await.unwrap().unwrap();
    assert_eq!((res.code(), res.ran().as_str()), (3002, "no"));
    assert!(res.headers.contains_key("retry-after"));
}

/// A frozen agent may run the call once it resumes, after the gateway has given it up.
/// The response must not say "not run", and a retry must not run the call again.
#[tokio::test]
async fn a_frozen_agent_runs_a_call_at_most_once() {
    let test = TestFleet::start(1).await;
    test.fleet.agents[0].signal(Signal::STOP);
    let order = test.order(0, Some("basket-8"), 8);
    let res = order.await.unwrap().unwrap();
    assert_eq!(res.ran(), "unknown", "{res:?}");
    test.fleet.agents[0].signal(Signal::CONT);
    test.fleet.wait_ready().await;
    let retry = test.order(1, Some("basket-8"), 8).await.unwrap().unwrap();
    assert_eq!(retry.ran(), "unknown", "{retry:?}");
    tokio::time::sleep(Duration::from_millis(2 * WORK_MS)).await;
    assert!(test.runs(8).await <= 1);
}

#[tokio::test]
async fn lost_replies_and_platform_outages_never_run_a_call_twice() {
    let test = TestFleet::start(1).await;
    // The claim is stored, but every reply is lost, so the gateway gives it up.
    test.set_platform_faults(Faults {
        lost_replies: 10_000,
        ..Faults::default()
    })
    .await;
    let res = test.order(0, Some("basket-9"), 9).await.unwrap().unwrap();
    assert_eq!((res.code(), res.ran().as_str()), (3005, "no"));
    assert_consistent(&res, test.runs(9).await);
    test.set_platform_faults(Faults::default()).await;
    test.retry_until_done("basket-9", 9).await;
    assert_eq!(test.runs(9).await, 1);

    test.set_platform_faults(Faults {
        outage: true,
        ..Faults::default()
    })
    .await;
    let keyed = test.order(0, Some("basket-30"), 30).await.unwrap().unwrap();
    assert_eq!(
        (keyed.code(), keyed.ran().as_str()),
        (3005, "no"),
        "{keyed:?}"
    );
    assert!(keyed.headers.contains_key("retry-after"));
    assert_consistent(&keyed, test.runs(30).await);
    let unkeyed = test.order(1, None, 31).await.unwrap().unwrap();
    assert_eq!(
        unkeyed.status, 200,
        "an outage does not stop calls without an idempotency key: {unkeyed:?}"
    );

    test.set_platform_faults(Faults::default()).await;
    test.fleet.wait_ready().await;
    test.retry_until_done("basket-30", 30).await;
    assert_eq!(test.runs(30).await, 1);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    GatewayKilled,
    AgentKilled,
    AgentFrozen,
    EndpointFrozen,
    PlatformDown,
    PlatformRepliesLost,
}

const FAILURES: [Failure; 6] = [
    Failure::GatewayKilled,
    Failure::AgentKilled,
    Failure::AgentFrozen,
    Failure::EndpointFrozen,
    Failure::PlatformDown,
    Failure::PlatformRepliesLost,
];

impl TestFleet {
    async fn inject(&mut self, failure: Failure) {
        match failure {
            Failure::GatewayKilled => self.fleet.gateways[0].kill(),
            Failure::AgentKilled => self.fleet.agents[0].kill(),
            Failure::AgentFrozen => self.fleet.agents[0].signal(Signal::STOP),
            Failure::EndpointFrozen => self.fleet.endpoints[0].signal(Signal::STOP),
            Failure::PlatformDown => {
                let outage = true;
                let faults = Faults {
                    outage,
                    ..Faults::default()
                };
                self.set_platform_faults(faults).await;
            }
            Failure::PlatformRepliesLost => {
                let lost_replies = 20;
                let faults = Faults {
                    lost_replies,
                    ..Faults::default()
                };
                self.set_platform_faults(faults).await;
            }
        }
    }

    async fn recover(&mut self) {
        self.set_platform_faults(Faults::default()).await;
        self.fleet.agents[0].signal(Signal::CONT);
        self.fleet.endpoints[0].signal(Signal::CONT);
        if self.fleet.gateways[0].pid().is_none() {
            self.fleet.restart(|fleet| &mut fleet.gateways[0]).unwrap();
        }
        if self.fleet.agents[0].pid().is_none() {
            self.fleet.restart(|fleet| &mut fleet.agents[0]).unwrap();
        }
        self.fleet.wait_ready().await;
    }
}

/// Injects every pair of failures while a call runs and retries the call during the
/// failures and after them.
#[tokio::test]
async fn pairs_of_failures_never_run_a_call_twice() {
    let mut test = TestFleet::start(1).await;
    let keys: Vec<&'static str> = (0..100).map(|n| &*format!("pair-{n}").leak()).collect();
    let mut order = 100;
    for (n, first) in FAILURES.iter().enumerate() {
        for second in &FAILURES[n + 1..] {
            let key = keys[order as usize - 100];
            let before = test.order(0, Some(key), order);
            tokio::time::sleep(HALF_WAY_DELAY).await;
            test.inject(*first).await;
            tokio::time::sleep(HALF_WAY_DELAY).await;
            test.inject(*second).await;
            // Sent while both failures last.
            let during = test.order(1, Some(key), order);
            tokio::time::sleep(Duration::from_millis(2_600)).await;
            test.recover().await;
            let responses = [before.await.unwrap(), during.await.unwrap()];
            let retry = test.order(2, Some(key), order).await.unwrap().unwrap();
            tokio::time::sleep(Duration::from_millis(2 * WORK_MS)).await;
            let runs = test.runs(order).await;
            for res in responses.iter().flatten().chain([&retry]) {
                let may_not_have_run = res.ran() == "unknown" || res.ran() == "no";
                assert!(runs <= 1, "{first:?} and {second:?}: ran {runs} times");
                assert!(
                    may_not_have_run || runs == 1,
                    "{first:?} and {second:?}: {runs} runs, {res:?}"
                );
            }
            order += 1;
        }
    }
}
