//! Plays one case: `harness CASE FOLDER`. Exits with 1 if the rule was broken, with 0 if it
//! held and with 2 if the case could not run.

mod cases;
mod consumer;
mod engine;
mod front;
mod http;
mod json;
mod record;
mod socket;
mod store;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// The case is over by then.
const LIMIT: Duration = Duration::from_secs(110);

/// What became of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (case, folder) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&PathBuf::from(folder)));
    record::share(&record);
    record.result(&format!("case {case}, trouble {}", u8::from(has_trouble)));
    let scratch = std::env::temp_dir().join(format!("rattanstall-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let (late, late_scratch) = (record.clone(), scratch.clone());
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        end(
            &late,
            &late_scratch,
            Outcome::NotRun("it took too long".to_owned()),
        );
    });
    let played = std::panic::catch_unwind(|| cases::play(&case, &scratch, &record, has_trouble));
    let outcome = played.unwrap_or_else(|_| Outcome::NotRun("the harness panicked".to_owned()));
    end(&record, &scratch, outcome);
}

fn end(record: &Record, scratch: &PathBuf, outcome: Outcome) -> ! {
    front::end_all();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(scratch);
    }
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::NotRun(why) => (format!("not run: {why}"), 2),
    };
    record.result(&text);
    std::process::exit(code);
}
