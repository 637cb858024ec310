//! Plays one case of the review: `review-2 CASE RECORD`. With TROUBLE=0 it leaves the disruption out.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod executor;
mod http;
mod json;
mod site;
mod store;

use std::process::ExitCode;

/// What a case has shown.
pub enum Outcome {
    Held,
    Broken(Vec<String>),
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, record] = words.as_slice() else {
        eprintln!("review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // The worst that a case can take, for a machine that stands still.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(112));
        eprintln!("could not run: the case took too long");
        site::kill_all();
        std::process::exit(2);
    });
    match cases::play(case, record, trouble) {
        Ok(Outcome::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken(lines)) => {
            for line in lines.iter().take(5) {
                println!("broken: {line}");
            }
            println!("broken {} times", lines.len());
            ExitCode::FAILURE
        }
        Err(problem) => {
            eprintln!("could not run: {problem}");
            ExitCode::from(2)
        }
    }
}
