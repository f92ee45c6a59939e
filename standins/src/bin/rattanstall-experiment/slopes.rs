//! Measures how the cost of control tasks grows with size, for docs/CAPACITY.md.
//!
//! Each task runs the product's own reducers and codecs on one thread. The cost
//! of one unit is the slope of a least-squares line through four sizes.

use std::time::Instant;

use compact_str::{CompactString, format_compact};
use rattanstall::bucket::{Bucket, BucketCell};
use rattanstall::clock::Millis;
use rattanstall::config::{Change, Document, Entry, Key, Urgency, Workspace, sha256_hex};
use rattanstall::configuration::Configuration;
use rattanstall::control::{Control, Event};
use rattanstall::instances::{Instance, Role};
use rattanstall::ledger::{EndpointReport, Ledger};
use rattanstall::placement::Placement;
use rattanstall::transport::encode_frame;
use rattanstall::weights::{Catalogue, Model};
use rattanstall::wire::{
    AgentReport, AgentStatus, EndpointKind, Envelope, Fence, Heartbeat, Member, PeerMessage,
    Residency, Resident,
};

/// A measured quantity at several sizes, each point a size and its value.
struct Measurement {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Measurement {
    fn print(&self) {
        let (slope, intercept, r_squared) = fit_line(&self.points);
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(size, value)| format!("{size:.0}: {value:.1}"))
            .collect();
        println!(
            "{:<44} slope {slope:>9.4} base {intercept:>9.2} {:<10} R2 {r_squared:.3}  [{}]",
            self.name,
            self.unit,
            points.join(", ")
        );
    }
}

/// Prints the slopes of all measurements and the sizes of frames.
pub fn run() {
    heartbeats().print();
    configuration_change().print();
    snapshot_size().print();
    agent_report().print();
    placement_round().print();
    bucket_tick().print();
    ledger_report().print();
    println!("frame sizes, bytes:");
    for (name, bytes) in frame_sizes() {
        println!("  {name:<30} {bytes}");
    }
}

/// Time for the control task to receive and send one round of heartbeats, by gateways.
fn heartbeats() -> Measurement {
    let sizes = [3, 30, 120, 490];
    let points = sizes.map(|gateways| {
        let mut control = new_control(gateways);
        let rounds = 20_000 / gateways;
        let mut now = Millis(10_000);
        let start = Instant::now();
        for _ in 0..rounds {
            now = now + Millis(250);
            for n in 1..gateways {
                control.reduce(now, Event::Peer(heartbeat(n, now)));
            }
            control.reduce(now, Event::Tick(Vec::new()));
        }
        (gateways as f64, elapsed_us(start) / rounds as f64)
    });
    Measurement {
        name: "one heartbeat round, by gateways",
        unit: "us",
        points: points.to_vec(),
    }
}

/// Time to apply the addition of one key, by keys in the configuration.
fn configuration_change() -> Measurement {
    let sizes = [100, 1_000, 5_000, 20_000];
    let points = sizes.map(|keys| {
        let mut configuration = Configuration::default();
        let first = Change {
            set: document(keys),
            ..Change::default()
        };
        configuration.extend(vec![entry(1, first)]);
        let rounds = 40;
        let start = Instant::now();
        for n in 0..rounds {
            let change = Change::add_key(key(1_000_000 + n));
            configuration.extend(vec![entry(n + 2, change)]);
        }
        (keys as f64, elapsed_us(start) / rounds as f64)
    });
    Measurement {
        name: "one configuration change, by keys",
        unit: "us",
        points: points.to_vec(),
    }
}

/// Encoded size of the configuration, by keys.
fn snapshot_size() -> Measurement {
    let sizes = [100, 1_000, 5_000, 20_000];
    let points = sizes.map(|keys| {
        let bytes = serde_json::to_vec(&document(keys)).map_or(0, |b| b.len());
        (keys as f64, bytes as f64)
    });
    Measurement {
        name: "configuration snapshot, by keys",
        unit: "bytes",
        points: points.to_vec(),
    }
}

/// Time for the control task to reduce one agent report and build the new view, by agents.
fn agent_report() -> Measurement {
    let sizes = [15, 60, 240, 960];
    let points = sizes.map(|agents| {
        let mut control = new_control(3);
        let now = Millis(10_000);
        for n in 0..agents {
            control.reduce(now, Event::Agent(agent_status(n, 0, 4)));
        }
        let rounds = 2_000;
        let start = Instant::now();
        let mut agents_seen = 0;
        for n in 0..rounds {
            control.reduce(now, Event::Agent(agent_status(n % agents, n as u32 + 1, 4)));
            agents_seen += control.view().agents.len();
        }
        assert!(agents_seen > 0);
        (agents as f64, elapsed_us(start) / rounds as f64)
    });
    Measurement {
        name: "one agent report and its view, by agents",
        unit: "us",
        points: points.to_vec(),
    }
}

/// Time of one placement round that issues no orders, by agents, with 310 models.
fn placement_round() -> Measurement {
    let sizes = [15, 60, 240, 960];
    let points = sizes.map(|agents| {
        let catalogue = Catalogue {
            models: (0..310).map(model).collect(),
            concurrent_loads: 3,
        };
        let per_agent = 310usize.div_ceil(agents) + 4;
        let statuses: Vec<AgentStatus> =
            (0..agents).map(|n| agent_status(n, 0, per_agent)).collect();
        let mut placement = Placement::default();
        let rounds = 20;
        let start = Instant::now();
        for n in 0..rounds {
            placement.plan(Millis(n * 250), Fence(1), &catalogue, &statuses, &[]);
        }
        (agents as f64, elapsed_us(start) / rounds as f64)
    });
    Measurement {
        name: "one placement round of 310 models, by agents",
        unit: "us",
        points: points.to_vec(),
    }
}

/// Time to read the counters of all buckets and reduce them, by workspaces.
fn bucket_tick() -> Measurement {
    let sizes = [5, 100, 1_000, 5_000];
    let points = sizes.map(|workspaces| {
        let mut control = new_control(3);
        let mut first = Change::default();
        first.set.workspaces = (0..workspaces).map(workspace).collect();
        let event = Event::LogRead {
            sent_at: Millis(10_000),
            snapshot: Default::default(),
            entries: vec![entry(1, first)],
        };
        control.reduce(Millis(10_000), event);
        let cells: Vec<BucketCell> = (0..workspaces)
            .map(|n| BucketCell::new(name("w", n), Bucket::new(Millis::ZERO, 1_000, 1_000)))
            .collect();
        let rounds = 200;
        let start = Instant::now();
        for n in 0..rounds {
            let now = Millis(10_000 + n * 50);
            let usage = cells
                .iter()
                .map(|c| c.with(|b| b.take_usage(now, &c.workspace)));
            control.reduce(now, Event::Tick(usage.collect()));
        }
        (workspaces as f64, elapsed_us(start) / rounds as f64)
    });
    Measurement {
        name: "one control tick, by workspaces",
        unit: "us",
        points: points.to_vec(),
    }
}

/// Time for the ledger to process an endpoint's report, by resident models.
fn ledger_report() -> Measurement {
    let sizes = [4, 16, 64, 256];
    let points = sizes.map(|models| {
        let mut ledger = Ledger::new(Millis::ZERO, Millis::ZERO);
        let report = EndpointReport {
            memory_bytes: u64::MAX,
            models: agent_status(0, 0, models).models,
            ..EndpointReport::default()
        };
        let rounds = 2_000;
        let start = Instant::now();
        for n in 0..rounds {
            let now = Millis(n);
            let ticket = ledger.report_ticket(now);
            ledger.report(now, ticket, &report);
        }
        (models as f64, elapsed_us(start) / rounds as f64)
    });
    Measurement {
        name: "one endpoint report at the agent, by models",
        unit: "us",
        points: points.to_vec(),
    }
}

fn frame_sizes() -> Vec<(&'static str, usize)> {
    let size = |message: &dyn Fn() -> usize| message();
    let heartbeat_message = heartbeat(1, Millis(1_000_000_000));
    let full = AgentReport::Full(agent_status(1, 3, 8));
    let load = AgentReport::Load {
        running: 30,
        waiting: 12,
    };
    let change = entry(39_000, Change::add_key(key(7)));
    let change = Envelope {
        from: member(1),
        message: PeerMessage::Config(vec![change]),
    };
    vec![
        ("heartbeat", size(&|| encoded_len(&heartbeat_message))),
        ("agent report, 8 models", size(&|| encoded_len(&full))),
        ("agent report, load only", size(&|| encoded_len(&load))),
        (
            "configuration change, one key",
            size(&|| encoded_len(&change)),
        ),
    ]
}

fn encoded_len<T: serde::Serialize>(message: &T) -> usize {
    encode_frame(message).map_or(0, |f| f.len())
}

fn new_control(gateways: usize) -> Control {
    let mut control = Control::new(member(0), "zone-0".into());
    let instances = (0..gateways)
        .map(|n| Instance {
            name: member(n).name,
            role: Role::Gateway,
            zone: name("zone-", n % 11),
            ip: std::net::Ipv4Addr::LOCALHOST.into(),
            peer_port: 1,
            admin_port: 2,
            leaving: false,
        })
        .collect();
    control.reduce(Millis(1), Event::Instances(instances));
    control
}

fn heartbeat(n: usize, now: Millis) -> Envelope {
    Envelope {
        from: member(n),
        message: PeerMessage::Heartbeat(Heartbeat {
            sent_at: now,
            echo: Some(now - Millis(100)),
            term: 0,
            revision: 0,
            confirmed_ago: Millis(300),
            draining: false,
        }),
    }
}

fn member(n: usize) -> Member {
    Member {
        name: format_compact!("gateway-{n:04}"),
        boot: u64::MAX - n as u64,
    }
}

fn name(prefix: &str, n: usize) -> CompactString {
    format_compact!("{prefix}{n:05}")
}

fn model(n: usize) -> Model {
    Model {
        name: name("model-", n),
        bytes: 10,
    }
}

/// The status of agent `n`. The 310 models are assigned to the agents in turn, `models` to each.
fn agent_status(n: usize, running: u32, models: usize) -> AgentStatus {
    let mut resident_models: Vec<Resident> = (0..models)
        .map(|m| Resident {
            model: name("model-", (n * models + m) % 310),
            state: Residency::Ready,
            bytes: 10,
        })
        .collect();
    resident_models.sort_by(|a, b| a.model.cmp(&b.model));
    resident_models.dedup_by(|a, b| a.model == b.model);
    AgentStatus {
        name: name("agent-", n),
        zone: name("zone-", n % 11),
        kind: EndpointKind::Engine,
        draining: false,
        healthy: true,
        running,
        waiting: 0,
        max_running: 32,
        memory_bytes: 1_000,
        models: resident_models,
    }
}

fn workspace(n: usize) -> Workspace {
    Workspace {
        name: name("w", n),
        partner: "p".into(),
        rate_tokens_per_s: 1_000,
        burst_tokens: 1_000,
        default_class: "c".into(),
    }
}

fn key(n: u64) -> Key {
    Key {
        digest: sha256_hex(&n.to_be_bytes()),
        workspace: name("w", n as usize % 100),
    }
}

fn document(keys: u64) -> Document {
    let mut document = Document {
        workspaces: (0..100).map(workspace).collect(),
        classes: vec![rattanstall::config::Class {
            name: "c".into(),
            urgency: Urgency::Interactive,
            first_token_ms: 1_000,
            between_tokens_ms: 28,
        }],
        keys: (0..keys).map(key).collect(),
        ..Document::default()
    };
    document.keys.sort_by(|a, b| a.digest.cmp(&b.digest));
    document
}

fn entry(revision: u64, change: Change) -> Entry {
    Entry {
        revision,
        apply: "0123456789abcdef0123456789abcdef".into(),
        change,
    }
}

fn elapsed_us(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6
}

/// Slope, intercept and R² of the least-squares line through the points.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let sxx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let sxy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let syy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
    let slope = sxy / sxx;
    let r_squared = if syy == 0.0 {
        1.0
    } else {
        sxy * sxy / (sxx * syy)
    };
    (slope, mean_y - slope * mean_x, r_squared)
}
