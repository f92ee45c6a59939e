//! Measures the control thread of a leader, by number of gateways: one second of
//! messages from all peers while requests wait for models.

use std::sync::Arc;
use std::time::Instant;

use compact_str::{CompactString, format_compact};
use rattanstall::clock::Millis;
use rattanstall::direct::control::{Control, Effect, Event};
use rattanstall::direct::dialect::{EndpointState, Registration, Resident};
use rattanstall::direct::document::{Document, EngineSpec, ModelSpec, Service};
use rattanstall::direct::gossip::{Datagram, Message, ModelUsage, WorkspaceUsage};
use rattanstall::direct::members::Member;
use rattanstall::direct::request::ModelRef;
use rattanstall::direct::retry_budget::RetryLimit;
use rattanstall::direct::settings::{Bounds, Settings};
use rattanstall::direct::view::Load;

const ENGINES: usize = 40;
const MODELS: usize = 80;
const WORKSPACES: usize = 16;
/// Models that one gateway has demand for.
const BUSY_MODELS: usize = 20;
/// Waiting requests that one gateway reports in a second.
const WANTED_PER_S: usize = 27;
/// Interval between a gateway's reports of usage and demand.
const USAGE_INTERVAL_MS: u64 = 250;
const TICK_INTERVAL_MS: u64 = 50;
const SIMULATED_S: u64 = 10;

/// Prints the cost of one second of control work by number of gateways.
pub fn run() {
    for gateways in [4, 22, 100, 490] {
        let mut leader = Leader::new(gateways);
        for second in 0..SIMULATED_S {
            leader.run_second(Millis(10_000 + second * 1_000));
        }
        let seconds = SIMULATED_S as f64;
        println!(
            "{gateways:>4} gateways: {:>8.0} events/s, {:>8.2} ms/s, of it decisions {:>7.2} ms/s \
             ({:>4.1} a second), longest event {:>6.2} ms",
            leader.events as f64 / seconds,
            leader.busy_ms / seconds,
            leader.deciding_ms / seconds,
            leader.control.decisions() as f64 / seconds,
            leader.longest_ms,
        );
    }
}

struct Leader {
    gateways: usize,
    control: Control,
    /// Sequence number of the last datagram.
    sent: u64,
    events: u64,
    busy_ms: f64,
    deciding_ms: f64,
    longest_ms: f64,
}

impl Leader {
    fn new(gateways: usize) -> Self {
        let mut control = Control::new(Arc::new(settings()));
        let members = (1..gateways).map(member).collect();
        let engines = (0..ENGINES).map(registration).collect();
        for event in [
            Event::Configuration(Arc::new(document())),
            Event::Registrations(engines),
            Event::Members(members),
            Event::LeaderKey(None),
            Event::LeaseHeld(Millis(u64::MAX)),
            Event::LeadershipClaimed {
                fence: 1,
                is_succession: false,
            },
        ] {
            control.reduce(Millis::ZERO, event);
        }
        Self {
            gateways,
            control,
            sent: 0,
            events: 0,
            busy_ms: 0.0,
            deciding_ms: 0.0,
            longest_ms: 0.0,
        }
    }

    fn run_second(&mut self, from: Millis) {
        let status_interval = 100 * (self.gateways as u64).div_ceil(8);
        for at in (0..1_000).step_by(TICK_INTERVAL_MS as usize) {
            let now = from + Millis(at);
            for peer in 1..self.gateways {
                if now.0 % status_interval < TICK_INTERVAL_MS {
                    self.send(now, peer, status());
                }
                if at % USAGE_INTERVAL_MS == 0 {
                    self.send(now, peer, limits());
                    self.send(now, peer, demand(peer));
                }
                let wanted =
                    WANTED_PER_S * (at as usize + 50) / 1_000 - WANTED_PER_S * at as usize / 1_000;
                for number in 0..wanted {
                    self.send(now, peer, wanted_model(peer + number));
                }
            }
            self.process(now, Event::Tick(Vec::new()));
        }
    }

    fn send(&mut self, now: Millis, peer: usize, message: Message) {
        self.sent += 1;
        let datagram = Datagram {
            from: gateway(peer),
            boot: 1,
            number: self.sent,
            message,
        };
        self.process(now, Event::Datagram(datagram));
    }

    /// Processes an event and the decision that it schedules.
    fn process(&mut self, now: Millis, event: Event) {
        let is_decision = matches!(event, Event::Decide);
        let began = Instant::now();
        let effects = self.control.reduce(now, event);
        let took_ms = began.elapsed().as_secs_f64() * 1_000.0;
        let took = Millis(took_ms.ceil() as u64);
        self.control.note_processed(now + took, took);
        self.events += 1;
        self.busy_ms += took_ms;
        self.longest_ms = self.longest_ms.max(took_ms);
        if is_decision {
            self.deciding_ms += took_ms;
        }
        if effects
            .iter()
            .any(|e| matches!(e, Effect::ScheduleDecision))
        {
            self.process(now, Event::Decide);
        }
    }
}

fn gateway(number: usize) -> CompactString {
    format_compact!("gw-{number:03}")
}

fn model(number: usize) -> CompactString {
    format_compact!("m{:03}", number % MODELS)
}

fn member(number: usize) -> Member {
    Member {
        name: gateway(number),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        boot: 1,
    }
}

fn registration(number: usize) -> Registration {
    let held = [model(number), model(number + ENGINES)];
    Registration {
        id: format_compact!("e{number:03}"),
        started_at: 1,
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 64,
        state: EndpointState::Ready,
        models: Some(held.map(resident).into()),
        local_models: Vec::new(),
        version: "v1".into(),
        cold_left: None,
    }
}

fn resident(model: CompactString) -> Resident {
    Resident {
        model,
        adapters: Vec::new(),
    }
}

fn document() -> Document {
    let models = (0..MODELS).map(|number| ModelSpec {
        name: model(number),
        weight_mb: 65_000.0,
        adapter_mb: 66.0,
        load_time: Millis(1_200),
    });
    let engine = EngineSpec {
        kv_tokens: 132_000,
        weight_mb: 220_000.0,
        adapter_slots: 8,
        loads_per_s: 8.0,
        models: models.collect(),
    };
    Document {
        version: 1,
        services: vec![Service {
            name: "s".into(),
            max_connections: 450,
            engine: Some(engine),
            cold: None,
        }],
        ..Document::default()
    }
}

fn settings() -> Settings {
    let address = ([127, 0, 0, 1], 1).into();
    Settings {
        name: gateway(0),
        zone: "z".into(),
        callers: address,
        readiness: address,
        internal: address,
        metrics: None,
        store: address,
        store_writes_per_s: 400,
        bounds: Bounds {
            lease: Millis(3_000),
            succession: Millis(500),
            drain: Millis(3_000),
            grace: Millis(8_000),
            relist: Millis(2_000),
            retries: RetryLimit {
                ratio: 0.2,
                slack: 50.0,
                window: Millis(10_000),
            },
            limit_slack: 17_000,
            load_window: Millis(5_000),
            evacuation: Some(Millis(5_000)),
            stretch: Millis(6_000),
        },
    }
}

fn status() -> Message {
    let loads = (0..ENGINES).map(|number| {
        let load = Load {
            requests: 3,
            unread_tokens: 100,
            tokens: 2_000,
            models: vec![(number as u32, 3)],
        };
        (format_compact!("e{number:03}"), load)
    });
    Message::Status {
        version: 1,
        is_draining: false,
        is_first: true,
        loads: loads.collect(),
    }
}

fn limits() -> Message {
    let limits = (0..WORKSPACES).map(|number| WorkspaceUsage {
        workspace: format_compact!("w{number:02}"),
        asked_per_s: 1_000,
        level: 1_000,
    });
    Message::Limits(limits.collect())
}

fn demand(peer: usize) -> Message {
    let uses = (0..BUSY_MODELS).map(|number| ModelUsage {
        service: "s".into(),
        model: model(peer + number * 4),
        milli_per_s: 1_000,
        took_ms: 1_000,
    });
    Message::Demand {
        is_first: true,
        uses: uses.collect(),
    }
}

fn wanted_model(number: usize) -> Message {
    Message::Wanted {
        service: "s".into(),
        wanted: ModelRef {
            model: model(number),
            adapter: Some("a1".into()),
        },
    }
}
