//! Runs one case of the review: `rig CASE FOLDER`. Writes `FOLDER/record.txt`. Ends with 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment there
//! is no disruption.

mod dark;
mod http;
mod json;
mod models;
mod platform;
mod rollout;

use std::path::Path;
use std::{env, io, process};

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |it| it != "0")
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: rig CASE FOLDER");
        process::exit(2);
    };
    let res: io::Result<Verdict> = match case.as_str() {
        "next-order" => rollout::run(Path::new(folder), rollout::Case::NextOrder),
        "missing-route" => rollout::run(Path::new(folder), rollout::Case::MissingRoute),
        "late-fault" => rollout::run(Path::new(folder), rollout::Case::LateFault),
        "dark-crash" => dark::run(Path::new(folder)),
        "models" => models::run(Path::new(folder)),
        _ => Err(io::Error::other("no such case")),
    };
    let code = match res {
        Ok(Verdict::Held(text)) => {
            println!("held: {text}");
            0
        }
        Ok(Verdict::Broken(text)) => {
            println!("BROKEN: {text}");
            1
        }
        Err(error) => {
            println!("could not run: {error}");
            2
        }
    };
    process::exit(code);
}
