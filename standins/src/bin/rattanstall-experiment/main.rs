//! Compares policies on the same generated arrivals in virtual time, runs the
//! share ledgers under random failures and measures the cost of control tasks.

mod answer;
mod leader;
mod limits;
mod overload;
mod parts;
mod rates;
mod slopes;
mod soak;
mod streams;

use std::process::ExitCode;

use rattanstall_standins::options::{parse, required, value};

fn main() -> ExitCode {
    let options = [
        (
            "name",
            "the experiment: answer, leader, limits, overload, parts, rates, slopes, soak, streams",
        ),
        ("seed", "seed of arrivals and failures (default 1)"),
        ("minutes", "real time of a soak (default 1)"),
        ("seconds", "virtual time of one run (default 900)"),
        ("endpoint", "answer: address of a running standin-endpoint"),
        ("set", "answer: the answers to switch to, as JSON"),
    ];
    let args = parse("Compares policies in virtual time.", &options);
    let random_seed = rand::random::<u32>().into();
    let seed = value(&args, "seed", 1);
    let seconds = value(&args, "seconds", 900);
    match value(&args, "name", "limits".to_owned()).as_str() {
        "answer" => {
            let endpoint = required(&args, "endpoint");
            if let Err(error) = answer::run(endpoint, &value(&args, "set", String::new())) {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
        "leader" => leader::run(),
        "limits" => limits::run(seed, seconds),
        "overload" => overload::run(seed, seconds),
        "parts" => parts::run(seed, seconds),
        "rates" => rates::run(seed, seconds),
        "soak" => {
            let minutes = value(&args, "minutes", 1.0);
            if let Err(violation) = soak::run(value(&args, "seed", random_seed), minutes) {
                eprintln!("over-issue: {violation}");
                return ExitCode::FAILURE;
            }
        }
        "slopes" => slopes::run(),
        "streams" => streams::run(),
        other => {
            eprintln!(
                "--name: \"{other}\" is unknown; allowed: answer, leader, limits, overload, parts, \
                 rates, slopes, soak, streams"
            );
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
