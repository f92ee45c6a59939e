//! Costs of the control duties at growing sizes, for docs/CAPACITY.md.
//!
//! Each duty runs on the product's own reducers and codecs on one thread. The
//! cost of a unit is the slope of a least-squares line through four sizes.

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

/// One line: what was measured, at which sizes, and the slope.
struct Line {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Line {
    fn print(&self) {
        let (slope, base, fit) = fit(&self.points);
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(size, value)| format!("{size:.0}: {value:.1}"))
            .collect();
        println!(
            "{:<44} slope {slope:>9.4} base {base:>9.2} {:<10} R2 {fit:.3}  [{}]",
            self.name,
            self.unit,
            points.join(", ")
        );
    }
}

/// Prints all slopes.
pub fn run() {
    heartbeats().print();
    configuration_entry().print();
    document_bytes().print();
    agent_report().print();
    placement_round().print();
    bucket_tick().print();
    ledger_report().print();
    println!("frame sizes, bytes:");
    for (name, bytes) in frames() {
        println!("  {name:<30} {bytes}");
    }
}

/// Control time for each heartbeat received and sent, by number of gateways.
fn heartbeats() -> Line {
    let sizes = [3, 30, 120, 490];
    let points = sizes.map(|gateways| {
        let mut control = control(gateways);
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
        (gateways as f64, micros(start) / rounds as f64)
    });
    Line {
        name: "one heartbeat round, by gateways",
        unit: "us",
        points: points.to_vec(),
    }
}

/// Time to apply one changed key, by keys in the configuration.
fn configuration_entry() -> Line {
    let sizes = [100, 1_000, 5_000, 20_000];
    let points = sizes.map(|keys| {
        let mut copy = Configuration::default();
        let first = Change {
            set: document(keys),
            ..Change::default()
        };
        copy.extend(vec![entry(1, first)]);
        let rounds = 40;
        let start = Instant::now();
        for n in 0..rounds {
            let change = Change::add_key(key(1_000_000 + n));
            copy.extend(vec![entry(n + 2, change)]);
        }
        (keys as f64, micros(start) / rounds as f64)
    });
    Line {
        name: "one configuration change, by keys",
        unit: "us",
        points: points.to_vec(),
    }
}

/// Size of the configuration, by keys.
fn document_bytes() -> Line {
    let sizes = [100, 1_000, 5_000, 20_000];
    let points = sizes.map(|keys| {
        let bytes = serde_json::to_vec(&document(keys)).map_or(0, |b| b.len());
        (keys as f64, bytes as f64)
    });
    Line {
        name: "configuration snapshot, by keys",
        unit: "bytes",
        points: points.to_vec(),
    }
}

/// Control time for each report of an agent, by agents, the new view included.
fn agent_report() -> Line {
    let sizes = [15, 60, 240, 960];
    let points = sizes.map(|agents| {
        let mut control = control(3);
        let now = Millis(10_000);
        for n in 0..agents {
            control.reduce(now, Event::Agent(status(n, 0, 4)));
        }
        let rounds = 2_000;
        let start = Instant::now();
        let mut seen = 0;
        for n in 0..rounds {
            control.reduce(now, Event::Agent(status(n % agents, n as u32 + 1, 4)));
            seen += control.view().agents.len();
        }
        assert!(seen > 0);
        (agents as f64, micros(start) / rounds as f64)
    });
    Line {
        name: "one agent report and its view, by agents",
        unit: "us",
        points: points.to_vec(),
    }
}

/// Time of one placement round that finds nothing to do, by agents, with 310 models.
fn placement_round() -> Line {
    let sizes = [15, 60, 240, 960];
    let points = sizes.map(|agents| {
        let catalogue = Catalogue {
            models: (0..310).map(model).collect(),
            concurrent_loads: 3,
        };
        let per_agent = 310usize.div_ceil(agents) + 4;
        let statuses: Vec<AgentStatus> = (0..agents).map(|n| status(n, 0, per_agent)).collect();
        let mut placement = Placement::default();
        let rounds = 20;
        let start = Instant::now();
        for n in 0..rounds {
            placement.plan(Millis(n * 250), Fence(1), &catalogue, &statuses, &[]);
        }
        (agents as f64, micros(start) / rounds as f64)
    });
    Line {
        name: "one placement round of 310 models, by agents",
        unit: "us",
        points: points.to_vec(),
    }
}

/// Time to read the counters of all buckets and reduce them, by workspaces.
fn bucket_tick() -> Line {
    let sizes = [5, 100, 1_000, 5_000];
    let points = sizes.map(|workspaces| {
        let mut control = control(3);
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
        (workspaces as f64, micros(start) / rounds as f64)
    });
    Line {
        name: "one control tick, by workspaces",
        unit: "us",
        points: points.to_vec(),
    }
}

/// Time to take in an endpoint's report, by models it holds.
fn ledger_report() -> Line {
    let sizes = [4, 16, 64, 256];
    let points = sizes.map(|models| {
        let mut ledger = Ledger::new(Millis::ZERO, Millis::ZERO);
        let report = EndpointReport {
            memory_bytes: u64::MAX,
            models: status(0, 0, models).models,
            ..EndpointReport::default()
        };
        let rounds = 2_000;
        let start = Instant::now();
        for n in 0..rounds {
            let now = Millis(n);
            let ticket = ledger.report_ticket(now);
            ledger.report(now, ticket, &report);
        }
        (models as f64, micros(start) / rounds as f64)
    });
    Line {
        name: "one endpoint report at the agent, by models",
        unit: "us",
        points: points.to_vec(),
    }
}

fn frames() -> Vec<(&'static str, usize)> {
    let size = |message: &dyn Fn() -> usize| message();
    let beat = heartbeat(1, Millis(1_000_000_000));
    let full = AgentReport::Full(status(1, 3, 8));
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
        ("heartbeat", size(&|| frame_len(&beat))),
        ("agent report, 8 models", size(&|| frame_len(&full))),
        ("agent report, load only", size(&|| frame_len(&load))),
        (
            "configuration change, one key",
            size(&|| frame_len(&change)),
        ),
    ]
}

fn frame_len<T: serde::Serialize>(message: &T) -> usize {
    encode_frame(message).map_or(0, |f| f.len())
}

fn control(gateways: usize) -> Control {
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

/// An agent that holds `models` of the 310 models in turn.
fn status(n: usize, running: u32, models: usize) -> AgentStatus {
    let mut held: Vec<Resident> = (0..models)
        .map(|m| Resident {
            model: name("model-", (n * models + m) % 310),
            state: Residency::Ready,
            bytes: 10,
        })
        .collect();
    held.sort_by(|a, b| a.model.cmp(&b.model));
    held.dedup_by(|a, b| a.model == b.model);
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
        models: held,
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

fn micros(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6
}

/// Slope, base and R² of the least-squares line.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
    let sxx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let sxy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let syy: f64 = points.iter().map(|p| (p.1 - my).powi(2)).sum();
    let slope = sxy / sxx;
    let fit = if syy == 0.0 {
        1.0
    } else {
        sxy * sxy / (sxx * syy)
    };
    (slope, my - slope * mx, fit)
}
