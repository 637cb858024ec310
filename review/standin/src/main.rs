//! Runs one case of the review: starts the gates with the command of the deploy file, stands in for
//! the platform around them, and checks one rule.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod deployment;
mod executor;
mod http;
mod json;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// The longest time of a case.
const LIMIT: Duration = Duration::from_secs(118);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(&path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let watched = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.add("result", "the case could not run: it took too long");
        deployment::kill_processes();
        std::process::exit(2);
    });
    record.add("case", &format!("{case}, with the disruption: {trouble}"));
    match cases::run(&case, trouble, &record) {
        Ok(broken) if broken.is_empty() => {
            record.add("result", "the rule held");
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in &broken {
                record.add("result", &format!("broken: {line}"));
                println!("{case}: broken: {line}");
            }
            ExitCode::from(1)
        }
        Err(reason) => {
            record.add("result", &format!("the case could not run: {reason}"));
            println!("{case}: could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
