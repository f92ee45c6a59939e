//! The gateways' grants for endpoints with a limit at 3, 22 and 490 gateways, emulated with
//! lost and late messages and with an owner that stands still.

use rattanstall_standins::rates::{Callers, Design, Outcome, Scenario, play};

fn outcomes(per_s: f64, seeds: &[(usize, u64)], has_freeze: bool) -> Vec<(Scenario, Outcome)> {
    let mut outcomes = Vec::new();
    for (gateways, count) in seeds {
        for callers in [Callers::Everywhere, Callers::AtOne] {
            for seed in 0..*count {
                let scenario = Scenario {
                    design: Design::Owner,
                    gateways: *gateways,
                    per_s,
                    callers,
                    has_freeze,
                    seconds: 40,
                    seed,
                };
                outcomes.push((scenario, play(scenario)));
            }
        }
    }
    outcomes
}

// Guards against grants that break the operator's rule in some 4 s when messages are lost,
// come late, or the gateway that grants stands still.
#[test]
fn the_rule_holds_at_any_number_of_gateways() {
    for per_s in [0.5, 2.0, 10.0, 100.0] {
        for has_freeze in [false, true] {
            let found = outcomes(per_s, &[(3, 8), (22, 4), (490, 1)], has_freeze);
            for (scenario, outcome) in found {
                let allowed = 1.5 * per_s * 4.0 + 5.0;
                let worst = outcome.worst_span as f64;
                assert!(worst <= allowed, "{scenario:?}: {outcome:?}");
            }
        }
    }
}

// Guards against a limit that callers can't use: at one gateway, or with shares of less
// than one request.
#[test]
fn most_of_a_limit_is_used_while_callers_want_more() {
    for per_s in [2.0, 10.0, 100.0] {
        let found = outcomes(per_s, &[(3, 8), (22, 4), (490, 1)], false);
        let mean = found.iter().map(|(_, o)| o.used_percent).sum::<f64>() / found.len() as f64;
        assert!(mean >= 80.0, "{per_s} a second: {mean:.0} %");
    }
}
