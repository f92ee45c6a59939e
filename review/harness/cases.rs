//! The cases.

mod crashing_part;
mod limit;
mod registration;
mod restored;
mod slow_reader;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::Outcome;
use crate::consumer::{HOST, KEY, MODEL};
use crate::engine::{Engine, Setup};
use crate::front::Front;
use crate::record::Record;
use crate::store::Store;

pub fn play(case: &str, scratch: &Path, record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let world = World::new(scratch, record);
    match case {
        "restored" => restored::play(&world, has_trouble),
        "registration" => registration::play(&world, has_trouble),
        "slow_reader" => slow_reader::play(&world, has_trouble),
        "crashing_part" => crashing_part::play(&world, has_trouble),
        "limit" => limit::play(&world, has_trouble),
        _ => Outcome::NotRun(format!("unknown case {case}")),
    }
}

/// A small deployment.
pub struct World<'a> {
    pub scratch: &'a Path,
    pub record: &'a Arc<Record>,
    pub store: Arc<Store>,
}

impl<'a> World<'a> {
    fn new(scratch: &'a Path, record: &'a Arc<Record>) -> Self {
        let store = Store::start(record.clone());
        store.put("op/config", &configuration());
        Self {
            scratch,
            record,
            store,
        }
    }

    /// A front machine that hasn't started.
    pub fn front(&self, number: usize) -> Arc<Front> {
        let zone = ["delta-a", "delta-b", "delta-c"][number % 3];
        // An address of its own, as each process serves its metrics at the same port.
        let pid = std::process::id();
        let ip = format!(
            "127.{}.{}.{}",
            20 + pid / 250 % 200,
            1 + pid % 250,
            number + 1
        );
        Front::create(
            self.scratch,
            &self.store,
            self.record,
            &ip,
            &format!("front-{zone}-1"),
            zone,
        )
    }

    pub fn model_engine(&self, id: &str, version: &str, models: &[&str]) -> Arc<Engine> {
        let models = Some(models.iter().map(|m| (*m).to_owned()).collect());
        self.engine(id, "llm", version, models)
    }

    pub fn engine(
        &self,
        id: &str,
        service: &str,
        version: &str,
        models: Option<Vec<String>>,
    ) -> Arc<Engine> {
        let setup = Setup {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "delta-a".to_owned(),
            version: version.to_owned(),
            models,
        };
        Engine::start(&self.store, self.record, setup)
    }

    pub fn pause(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }
}

fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[\
         {{\"Name\":\"chat\",\"Host\":\"{HOST}\",\"Prefix\":\"/lohu930/\",\"Kind\":\"stream\",\"TimeoutMs\":12000,\
         \"TargetLatencyMs\":250,\"Priority\":0,\"Service\":\"llm\",\"MaxAttempts\":2,\"Public\":false,\
         \"Sticky\":true,\"CanResume\":true,\"GapAimMs\":250}},\
         {{\"Name\":\"batch\",\"Host\":\"{HOST}\",\"Prefix\":\"/bepo271/\",\"Kind\":\"stream\",\"TimeoutMs\":20000,\
         \"TargetLatencyMs\":8000,\"Priority\":0,\"Service\":\"llm\",\"MaxAttempts\":2,\"Public\":false,\
         \"Sticky\":true,\"CanResume\":true,\"GapAimMs\":300}},\
         {{\"Name\":\"order\",\"Host\":\"{HOST}\",\"Prefix\":\"/puxa403/\",\"Kind\":\"unsafe\",\"TimeoutMs\":4000,\
         \"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":1,\"Public\":false}},\
         {{\"Name\":\"lookup\",\"Host\":\"{HOST}\",\"Prefix\":\"/cufi504/\",\"Kind\":\"safe\",\"TimeoutMs\":12000,\
         \"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":false}}],\
         \"Services\":[{{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":300,\"Protocol\":\"h1\",\"Tls\":false,\
         \"Engine\":{{\"Slots\":48,\"KvCapacity\":164235,\"WeightMb\":200000.0,\"AdapterSlots\":8,\"LoadsPerS\":2.6,\
         \"Models\":[{{\"Name\":\"{MODEL}\",\"WeightMb\":65100.0,\"LoadS\":1.2,\"Adapters\":0,\"AdapterMb\":12.0}}]}}}},\
         {{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1,\"Unit\":\"tokens\",\
         \"PlainTokens\":200}}]}}"
    )
}
