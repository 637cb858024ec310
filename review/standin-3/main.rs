//! Stand-ins and scripts of the review's cases; built by review/build-3.sh with the standard library alone.

mod advice;
mod cases;
mod executor;
mod record;
mod site;
mod store;
mod wire;

use std::path::PathBuf;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let arg = |at: usize| args.get(at).map(String::as_str).unwrap_or_default();
    match arg(1) {
        "advice" => advice::run(arg(2).parse().expect("an address")),
        "store" => store::run(arg(2).parse().expect("an address")),
        "executor" => executor::run(executor::Options {
            id: arg(2).to_owned(),
            address: arg(3).parse().expect("an address"),
            store: arg(4).parse().expect("an address"),
            zone: arg(5).to_owned(),
            labels: arg(6).split(',').map(str::to_owned).collect(),
            cpu: arg(7).parse().expect("a number"),
            mem_mb: 131_072,
            record: PathBuf::from(arg(8)),
        }),
        "play" => {
            let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
            // The repository, the folder of the case and its name.
            let code = cases::play(
                arg(4),
                PathBuf::from(arg(2)),
                PathBuf::from(arg(3)),
                trouble,
            );
            std::process::exit(code);
        }
        _ => std::process::exit(2),
    }
}
