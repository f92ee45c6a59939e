//! Tests of the placement planner under different loads.

use compact_str::{CompactString, format_compact};
use proptest::prelude::*;
use rattanstall::clock::Millis;
use rattanstall::direct::document::{EngineSpec, ModelSpec};
use rattanstall::direct::placement::{
    Demand, Engine, LoadBudget, ModelCopy, Move, PlanInput, RequiredCopy, free_mb, plan,
};

const MODEL_MB: f64 = 72_700.0;

fn spec(models: usize) -> EngineSpec {
    let models = (0..models).map(|at| ModelSpec {
        name: format_compact!("m{at:02}"),
        weight_mb: MODEL_MB,
        adapter_mb: 66.0,
        load_time: Millis(1_200),
    });
    EngineSpec {
        kv_tokens: 160_000,
        weight_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_s: 2.6,
        models: models.collect(),
    }
}

fn copy(model: usize) -> ModelCopy {
    ModelCopy {
        model: format_compact!("m{model:02}"),
        is_settled: true,
        is_leaving: false,
        age: Millis(60_000),
        open_requests: 0,
    }
}

fn engine(at: usize, models: &[usize]) -> Engine {
    Engine {
        id: format_compact!("e{at:02}"),
        zone: format_compact!("z{}", at % 3),
        is_free: true,
        is_open: true,
        copies: models.iter().map(|m| copy(*m)).collect(),
        local_models: Vec::new(),
        open_requests: 0,
        slots: 48,
        reserved_for: None,
    }
}

fn demand(models: usize, busy: &[(usize, f64)]) -> Vec<Demand> {
    let mut demand = vec![Demand::default(); models];
    for (model, per_s) in busy {
        demand[*model] = Demand {
            per_s: *per_s,
            mean_duration_s: 1.0,
            idle_for: Millis::ZERO,
        };
    }
    demand
}

fn moves(spec: &EngineSpec, engines: &[Engine], demand: &[Demand], loads: usize) -> Vec<Move> {
    plan(&PlanInput {
        spec,
        engines,
        demand,
        store_loads: loads,
        required: &[],
    })
}

/// Runs planning rounds; every move is carried out before the next round.
fn settle(spec: &EngineSpec, engines: &mut [Engine], demand: &[Demand], rounds: usize) {
    for _ in 0..rounds {
        for planned in moves(spec, engines, demand, 3) {
            let engine = engines.iter_mut().find(|e| e.id == planned.engine);
            let engine = engine.expect("a known engine");
            engine.reserved_for = planned.makes_room_for;
            if planned.is_load {
                let at = planned.model[1..].parse().expect("a model's number");
                engine.copies.push(copy(at));
            } else {
                engine.copies.retain(|c| c.model != planned.model);
            }
        }
    }
}

/// The engines at which each copy is the only one of its model.
fn without_spare_copy(engines: &[Engine]) -> Vec<CompactString> {
    let number = |name: &CompactString| name[1..].parse().expect("a model's number");
    let is_last = |c: &ModelCopy| copies_of(engines, number(&c.model)) == 1;
    let without = engines.iter().filter(|e| e.copies.iter().all(is_last));
    without.map(|e| e.id.clone()).collect()
}

fn copies_of(engines: &[Engine], model: usize) -> usize {
    let name: CompactString = format_compact!("m{model:02}");
    let copies = engines.iter().flat_map(|e| &e.copies);
    copies.filter(|c| c.model == name).count()
}

// Guards against streams that cannot go on during a release: their model has copies, but
// none at an engine of the software version that began them.
#[test]
fn a_copy_that_streams_need_is_loaded_at_an_engine_of_their_version() {
    let spec = spec(6);
    let engines: Vec<Engine> = (0..6).map(|at| engine(at, &[at, (at + 1) % 6])).collect();
    // Model 0 has copies at engines 0 and 5; its streams can go on at 2 and 3 only.
    let required = [RequiredCopy {
        model: "m00".into(),
        engines: vec!["e02".into(), "e03".into()],
    }];
    let plan_at = |engines: &[Engine]| {
        plan(&PlanInput {
            spec: &spec,
            engines,
            demand: &demand(6, &[]),
            store_loads: 3,
            required: &required,
        })
    };
    let planned = plan_at(&engines);
    assert_eq!(planned.len(), 1, "{planned:?}");
    let place = planned[0].engine.clone();
    assert!(required[0].engines.contains(&place), "{planned:?}");
    assert_eq!(planned[0].makes_room_for.as_deref(), Some("m00"));
    // The copy that is unloaded is not the last one, and the place is kept for the model.
    let victim: usize = planned[0].model[1..].parse().expect("a model's number");
    assert_eq!(copies_of(&engines, victim), 2);
    let mut cleared = engines.clone();
    for engine in cleared.iter_mut().filter(|e| e.id == place) {
        engine.copies.retain(|c| c.model != planned[0].model);
        engine.reserved_for = Some("m00".into());
    }
    let planned = plan_at(&cleared);
    assert_eq!(planned.len(), 1, "{planned:?}");
    assert!(planned[0].is_load && planned[0].model == "m00" && planned[0].engine == place);
    // Once it is there, nothing more is done.
    for engine in cleared.iter_mut().filter(|e| e.id == place) {
        engine.copies.push(copy(0));
        engine.reserved_for = None;
    }
    assert!(plan_at(&cleared).is_empty());
}

#[test]
fn demand_that_moves_to_another_model_moves_the_copies() {
    let spec = spec(4);
    let mut engines: Vec<Engine> = (0..6).map(|at| engine(at, &[0, 1 + at % 3])).collect();
    settle(&spec, &mut engines, &demand(4, &[(3, 60.0)]), 40);
    assert!(copies_of(&engines, 3) >= 5, "{engines:?}");
    assert!((0..4).all(|model| copies_of(&engines, model) >= 1));
}

#[test]
fn single_copies_move_together_to_make_room_for_a_model_in_demand() {
    // The empty engine has room for two models, but the busy model can use only one
    // place there. To make room for a further copy, another model's only copy has to
    // move to the second place first.
    let spec = spec(9);
    let mut engines = vec![
        engine(0, &[0, 1]),
        engine(1, &[2, 3]),
        engine(2, &[4, 5]),
        engine(3, &[6, 7]),
        engine(4, &[8]),
        engine(5, &[]),
    ];
    settle(&spec, &mut engines, &demand(9, &[(7, 50.0)]), 30);
    assert!(copies_of(&engines, 7) >= 4, "{engines:?}");
    assert!((0..9).all(|model| copies_of(&engines, model) >= 1));
}

#[test]
fn a_model_without_a_copy_clears_one_place_however_long_the_unload_takes() {
    let spec = spec(4);
    let mut engines: Vec<Engine> = (0..6).map(|at| engine(at, &[0, 1])).collect();
    engines[0] = engine(0, &[1, 2]);
    let demand = demand(4, &[(0, 60.0), (1, 60.0), (3, 1.0)]);
    let first = moves(&spec, &engines, &demand, 3);
    let unloads = first.iter().filter(|m| !m.is_load).count();
    assert_eq!(unloads, 1, "{first:?}");
    // The unload may take many rounds; meanwhile no other place is cleared.
    let clearing = engines.iter_mut().find(|e| e.id == first[0].engine);
    let clearing = clearing.expect("a known engine");
    clearing.reserved_for = first[0].makes_room_for.clone();
    clearing.is_free = false;
    for copy in &mut clearing.copies {
        copy.is_leaving |= copy.model == first[0].model;
    }
    assert_eq!(moves(&spec, &engines, &demand, 3), Vec::new());
}

#[test]
fn a_model_without_a_copy_is_placed_before_one_that_needs_another() {
    let spec = spec(3);
    let engines = vec![engine(0, &[0]), engine(1, &[0, 1])];
    let planned = moves(&spec, &engines, &demand(3, &[(0, 90.0), (1, 90.0)]), 1);
    assert_eq!(planned[0].model, "m02", "{planned:?}");
}

// Guards against a second unload while the registration still lists what was unloaded.
#[test]
fn a_place_that_is_being_cleared_is_not_cleared_again() {
    let spec = spec(4);
    let mut engines: Vec<Engine> = (0..3).map(|at| engine(at, &[0, 1])).collect();
    engines.push(engine(3, &[1, 2]));
    let demand = demand(4, &[(0, 20.0), (1, 20.0), (2, 1.0), (3, 1.0)]);
    engines[0].reserved_for = Some("m03".into());
    engines[0].copies[0].is_leaving = true;
    let planned = moves(&spec, &engines, &demand, 3);
    assert!(planned.iter().all(|m| m.engine != "e00"), "{planned:?}");
    // Once it is listed no more, the model is loaded there.
    engines[0].copies.remove(0);
    let planned = moves(&spec, &engines, &demand, 3);
    let load = planned.iter().find(|m| m.engine == "e00");
    assert!(
        load.is_some_and(|m| m.is_load && m.model == "m03"),
        "{planned:?}"
    );
}

// Where not all models fit: room goes to requests that find no slot, then to a model that is
// asked for and has no copy, and last to one that nobody asks for.
#[test]
fn scarce_places_go_to_those_that_are_asked_for() {
    let spec = spec(5);
    let engines = vec![engine(0, &[0]), engine(1, &[0, 1])];
    let first = |busy: &[(usize, f64)]| {
        let planned = moves(&spec, &engines, &demand(5, busy), 1);
        planned[0].model.clone()
    };
    assert_eq!(first(&[(0, 20.0), (1, 20.0), (2, 0.5)]), "m02");
    assert_eq!(first(&[(0, 20.0), (1, 90.0), (2, 0.5)]), "m01");
    assert_eq!(first(&[(0, 1.0), (1, 20.0)]), "m01");
}

#[test]
fn a_copy_that_was_just_loaded_is_not_unloaded() {
    let spec = spec(3);
    let mut engines = vec![engine(0, &[0, 1]), engine(1, &[0, 1]), engine(2, &[0, 2])];
    for copy in engines.iter_mut().flat_map(|e| &mut e.copies) {
        copy.age = Millis(500);
    }
    let planned = moves(&spec, &engines, &demand(3, &[(2, 90.0)]), 3);
    assert_eq!(planned, Vec::new());
}

#[test]
fn a_new_leader_allows_for_loads_that_its_predecessor_may_have_started() {
    let spec = spec(3);
    let window = Millis(5_000);
    let mut budget = LoadBudget::after_takeover(Millis(10_000), &spec, window);
    // The operator allows 2.6 loads per second over 5 s, plus 10 % and 3 loads.
    let allowed = (2.6 * 5.0 * 1.1 + 3.0) as usize;
    let mut started = 0;
    for now in (10_000..15_000).step_by(50) {
        while budget.available(Millis(now), &spec, window, 0) > 0 {
            budget.record_load(Millis(now));
            started += 1;
        }
    }
    // The previous leader may have used its whole allowance just before the change. The
    // new leader counts half of it as used, so the other half may exceed the bound.
    let before = (2.6 * 5.0 * 0.9) as usize;
    assert!(started + before <= allowed + before / 2, "{started}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn memory_is_never_overcommitted_and_no_last_copy_is_unloaded(
        held in prop::collection::vec(prop::collection::vec(0usize..6, 0..3), 3..7),
        rates in prop::collection::vec(0.0f64..120.0, 6),
        shifted in prop::collection::vec(0.0f64..120.0, 6),
    ) {
        let spec = spec(6);
        let mut engines: Vec<Engine> = held
            .iter()
            .enumerate()
            .map(|(at, models)| {
                let mut models = models.clone();
                models.sort_unstable();
                models.dedup();
                engine(at, &models)
            })
            .collect();
        let mut was_there = [false; 6];
        for rates in [&rates, &shifted] {
            let busy: Vec<(usize, f64)> = rates.iter().copied().enumerate().collect();
            let demand = demand(6, &busy);
            for _ in 0..15 {
                settle(&spec, &mut engines, &demand, 1);
                for engine in &engines {
                    prop_assert!(free_mb(&spec, engine) >= 0.0);
                }
                for (model, was_there) in was_there.iter_mut().enumerate() {
                    let is_there = copies_of(&engines, model) > 0;
                    prop_assert!(is_there || !*was_there, "m{model} is gone");
                    *was_there = is_there;
                }
            }
        }
    }
}

// Guards against engines that are idle all day while others are full, since they hold nothing
// but the only copies of models that nobody asks for.
#[test]
fn each_engine_has_a_place_for_models_in_demand() {
    let spec = spec(10);
    let held = [[2, 3], [4, 5], [6, 7], [8, 0], [9, 1]];
    let held = held.into_iter().chain([[0, 1]; 5]).enumerate();
    let mut engines: Vec<Engine> = held.map(|(at, models)| engine(at, &models)).collect();
    settle(&spec, &mut engines, &demand(10, &[]), 30);
    assert_eq!(without_spare_copy(&engines), [] as [CompactString; 0]);
    let idle = demand(10, &[]);
    let settled = moves(&spec, &engines, &idle, 3);
    assert_eq!(settled, [], "nothing is left to do");
    settle(&spec, &mut engines, &demand(10, &[(0, 200.0)]), 60);
    assert!(
        (0..10).all(|m| copies_of(&engines, m) > 0),
        "a last copy is gone"
    );
    assert!(copies_of(&engines, 0) >= 9, "{}", copies_of(&engines, 0));
}
