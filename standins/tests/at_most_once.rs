//! Calls that may not be repeated run at most once, whatever fails between
//! accept and answer, and "not run" is true.

use std::path::Path;
use std::time::Duration;

use rattanstall::config::Document;
use rattanstall_standins::caller::{Answer, Ask, Caller};
use rattanstall_standins::faults::Faults;
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use rattanstall_standins::service::Run;
use rustix::process::Signal;
use serde_json::json;

/// A call takes this long at the service, so that a failure hits it half-way.
const WORK_MS: u64 = 400;
const HALF_WAY: Duration = Duration::from_millis(150);

struct Bench {
    fleet: Fleet,
    key: String,
}

impl Bench {
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

    /// Sends an order, in the background.
    fn order(
        &self,
        gateway: usize,
        idempotency_key: Option<&'static str>,
        order: u64,
    ) -> tokio::task::JoinHandle<Option<Answer>> {
        let (caller, key) = (self.caller(gateway), self.key.clone());
        tokio::spawn(async move {
            let ask = Ask {
                key: Some(&key),
                idempotency_key,
                class: None,
            };
            caller
                .post("/orders/new", &ask, &json!({ "order": order }))
                .await
                .ok()
        })
    }

    async fn set_platform_faults(&self, faults: Faults) {
        Caller::new(self.fleet.platform.listen)
            .set_faults(&faults)
            .await;
    }

    /// Repeats an order whose claim was given up. It is marked as not run once
    /// the service answers, and then the repeat runs.
    async fn repeat_until_done(&self, idempotency_key: &'static str, order: u64) {
        let mut last = None;
        for _ in 0..50 {
            let answer = self
                .order(2, Some(idempotency_key), order)
                .await
                .unwrap()
                .unwrap();
            if answer.status == 200 {
                return;
            }
            last = Some(answer);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        panic!("never done: {last:?}");
    }

    /// Runs of one order over all services, restarted ones excepted.
    async fn runs(&self, order: u64) -> usize {
        let mut count = 0;
        for endpoint in self.fleet.endpoints.iter().filter(|e| e.pid().is_some()) {
            let runs = Caller::new(endpoint.listen).get("/control/runs").await;
            let runs: Vec<Run> = serde_json::from_value(runs.unwrap_or_default()).unwrap();
            let body = json!({ "order": order }).to_string();
            count += runs.iter().filter(|run| run.body == body).count();
        }
        count
    }
}

/// What must hold between an answer and the runs it speaks of.
fn check(answer: &Answer, runs: usize) {
    assert!(runs <= 1, "ran {runs} times");
    match answer.ran().as_str() {
        "no" => assert_eq!(runs, 0, "a refusal said \"not run\": {answer:?}"),
        "yes" => assert_eq!(runs, 1, "{answer:?}"),
        "unknown" => assert!(answer.json()["error"]["request_id"].is_string()),
        _ => {
            assert_eq!(answer.status, 200, "{answer:?}");
            assert_eq!(runs, 1);
        }
    }
}

#[tokio::test]
async fn a_repeat_gets_the_recorded_outcome() {
    let bench = Bench::start(2).await;
    let first = bench.order(0, Some("basket-1"), 1).await.unwrap().unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    tokio::time::sleep(Duration::from_millis(100)).await;
    for gateway in 0..3 {
        let repeat = bench
            .order(gateway, Some("basket-1"), 1)
            .await
            .unwrap()
            .unwrap();
        assert_eq!(repeat.body, first.body);
        assert_eq!(repeat.headers["idempotency-replayed"], "true");
    }
    let other = bench.order(1, Some("basket-1"), 2).await.unwrap().unwrap();
    assert_eq!((other.code(), other.ran().as_str()), (1009, "no"));
    assert_eq!((bench.runs(1).await, bench.runs(2).await), (1, 0));

    // The same key at all gateways at once.
    let racing: Vec<_> = (0..9)
        .map(|n| bench.order(n % 3, Some("basket-3"), 3))
        .collect();
    for answer in racing {
        check(&answer.await.unwrap().unwrap(), 1);
    }
    assert_eq!(bench.runs(3).await, 1);
}

#[tokio::test]
async fn a_killed_agent_leaves_the_outcome_unknown() {
    let mut bench = Bench::start(1).await;
    let order = bench.order(0, Some("basket-4"), 4);
    tokio::time::sleep(HALF_WAY).await;
    bench.fleet.agents[0].kill();
    let answer = order.await.unwrap().unwrap();
    assert_eq!((answer.code(), answer.ran().as_str()), (4001, "unknown"));
    check(&answer, bench.runs(4).await);

    bench.fleet.restart(|fleet| &mut fleet.agents[0]).unwrap();
    bench.fleet.wait_ready().await;
    let repeat = bench.order(1, Some("basket-4"), 4).await.unwrap().unwrap();
    assert_eq!((repeat.code(), repeat.ran().as_str()), (4001, "unknown"));
    let asked = &repeat.json()["error"]["request_id"];
    assert_eq!(*asked, answer.json()["error"]["request_id"]);
    assert_eq!(bench.runs(4).await, 1);
}

#[tokio::test]
async fn a_killed_gateway_leaves_its_claim() {
    let mut bench = Bench::start(1).await;
    let order = bench.order(0, Some("basket-5"), 5);
    tokio::time::sleep(HALF_WAY).await;
    bench.fleet.gateways[0].kill();
    assert!(
        order.await.unwrap().is_none(),
        "the caller sees a broken connection"
    );
    let repeat = bench.order(1, Some("basket-5"), 5).await.unwrap().unwrap();
    assert_eq!((repeat.code(), repeat.ran().as_str()), (4003, "unknown"));
    tokio::time::sleep(Duration::from_millis(WORK_MS)).await;
    assert_eq!(bench.runs(5).await, 1);

    // The agent went on without the gateway and knows the outcome.
    let id = repeat.json()["error"]["request_id"]
        .as_str()
        .unwrap()
        .to_owned();
    let ask = Ask {
        key: Some(&bench.key),
        ..Ask::default()
    };
    let path = format!("/v1/requests/{id}");
    let outcome = bench
        .caller(2)
        .ask(http::Method::GET, &path, &ask, "")
        .await
        .unwrap();
    assert_eq!(outcome.json()["ok"], true, "{outcome:?}");
}

#[tokio::test]
async fn a_cut_or_crossed_answer_is_never_taken_for_the_whole_one() {
    let bench = Bench::start(1).await;
    let service = Caller::new(bench.fleet.endpoints[0].listen);
    let cut = Faults {
        cut_answers: 1,
        ..Faults::default()
    };
    service.set_faults(&cut).await;
    let answer = bench.order(0, None, 6).await.unwrap().unwrap();
    assert_eq!(answer.code(), 4002, "{answer:?}");
    check(&answer, bench.runs(6).await);
    let crossed = Faults {
        crossed_answers: 1,
        ..Faults::default()
    };
    service.set_faults(&crossed).await;
    let answer = bench.order(0, None, 7).await.unwrap().unwrap();
    assert_eq!(answer.code(), 4005, "{answer:?}");
    check(&answer, bench.runs(7).await);
}

#[tokio::test]
async fn a_dead_endpoint_refuses_truly() {
    let mut bench = Bench::start(2).await;
    bench.fleet.endpoints[0].kill();
    // Reports lag, so some calls still reach the agent of the dead endpoint.
    for order in 10..20 {
        let answer = bench.order(0, None, order).await.unwrap().unwrap();
        assert_eq!(answer.status, 200, "the other endpoint serves: {answer:?}");
        check(&answer, bench.runs(order).await);
    }
    bench.fleet.endpoints[1].kill();
    let answer = bench.order(0, None, 20).await.unwrap().unwrap();
    assert_eq!((answer.code(), answer.ran().as_str()), (3002, "no"));
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn a_frozen_agent_runs_a_call_at_most_once() {
    let bench = Bench::start(1).await;
    bench.fleet.agents[0].signal(Signal::STOP);
    let order = bench.order(0, Some("basket-8"), 8);
    let answer = order.await.unwrap().unwrap();
    assert_eq!(answer.ran(), "unknown", "{answer:?}");
    bench.fleet.agents[0].signal(Signal::CONT);
    bench.fleet.wait_ready().await;
    let repeat = bench.order(1, Some("basket-8"), 8).await.unwrap().unwrap();
    assert_eq!(repeat.ran(), "unknown", "{repeat:?}");
    tokio::time::sleep(Duration::from_millis(2 * WORK_MS)).await;
    assert!(bench.runs(8).await <= 1);
}

#[tokio::test]
async fn lost_replies_and_outages_of_the_service_never_double_a_call() {
    let bench = Bench::start(1).await;
    // The claim takes effect, but every reply is lost, so it is given up.
    bench
        .set_platform_faults(Faults {
            lost_replies: 10_000,
            ..Faults::default()
        })
        .await;
    let answer = bench.order(0, Some("basket-9"), 9).await.unwrap().unwrap();
    assert_eq!((answer.code(), answer.ran().as_str()), (3005, "no"));
    check(&answer, bench.runs(9).await);
    bench.set_platform_faults(Faults::default()).await;
    bench.repeat_until_done("basket-9", 9).await;
    assert_eq!(bench.runs(9).await, 1);

    bench
        .set_platform_faults(Faults {
            outage: true,
            ..Faults::default()
        })
        .await;
    let keyed = bench
        .order(0, Some("basket-30"), 30)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(
        (keyed.code(), keyed.ran().as_str()),
        (3005, "no"),
        "{keyed:?}"
    );
    assert!(keyed.headers.contains_key("retry-after"));
    check(&keyed, bench.runs(30).await);
    let unkeyed = bench.order(1, None, 31).await.unwrap().unwrap();
    assert_eq!(
        unkeyed.status, 200,
        "an outage alone stops nobody: {unkeyed:?}"
    );

    bench.set_platform_faults(Faults::default()).await;
    bench.fleet.wait_ready().await;
    bench.repeat_until_done("basket-30", 30).await;
    assert_eq!(bench.runs(30).await, 1);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    GatewayKilled,
    AgentKilled,
    AgentFrozen,
    EndpointFrozen,
    ServiceDown,
    RepliesLost,
}

const FAILURES: [Failure; 6] = [
    Failure::GatewayKilled,
    Failure::AgentKilled,
    Failure::AgentFrozen,
    Failure::EndpointFrozen,
    Failure::ServiceDown,
    Failure::RepliesLost,
];

impl Bench {
    async fn bring_about(&mut self, failure: Failure) {
        match failure {
            Failure::GatewayKilled => self.fleet.gateways[0].kill(),
            Failure::AgentKilled => self.fleet.agents[0].kill(),
            Failure::AgentFrozen => self.fleet.agents[0].signal(Signal::STOP),
            Failure::EndpointFrozen => self.fleet.endpoints[0].signal(Signal::STOP),
            Failure::ServiceDown => {
                let outage = true;
                let faults = Faults {
                    outage,
                    ..Faults::default()
                };
                self.set_platform_faults(faults).await;
            }
            Failure::RepliesLost => {
                let lost_replies = 20;
                let faults = Faults {
                    lost_replies,
                    ..Faults::default()
                };
                self.set_platform_faults(faults).await;
            }
        }
    }

    async fn mend(&mut self) {
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

#[tokio::test]
async fn pairs_of_failures_never_run_a_call_twice() {
    let mut bench = Bench::start(1).await;
    let keys: Vec<&'static str> = (0..100).map(|n| &*format!("pair-{n}").leak()).collect();
    let mut order = 100;
    for (n, first) in FAILURES.iter().enumerate() {
        for second in &FAILURES[n + 1..] {
            let key = keys[order as usize - 100];
            let sent = bench.order(0, Some(key), order);
            tokio::time::sleep(HALF_WAY).await;
            bench.bring_about(*first).await;
            tokio::time::sleep(HALF_WAY).await;
            bench.bring_about(*second).await;
            // What is sent while both last.
            let during = bench.order(1, Some(key), order);
            tokio::time::sleep(Duration::from_millis(2_600)).await;
            bench.mend().await;
            let answers = [sent.await.unwrap(), during.await.unwrap()];
            let repeat = bench.order(2, Some(key), order).await.unwrap().unwrap();
            tokio::time::sleep(Duration::from_millis(2 * WORK_MS)).await;
            let runs = bench.runs(order).await;
            for answer in answers.iter().flatten().chain([&repeat]) {
                let is_running = answer.ran() == "unknown" || answer.ran() == "no";
                assert!(runs <= 1, "{first:?} and {second:?}: ran {runs} times");
                assert!(
                    is_running || runs == 1,
                    "{first:?} and {second:?}: {runs} runs, {answer:?}"
                );
            }
            order += 1;
        }
    }
}
