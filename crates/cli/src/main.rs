//! `kingcupshift`: the operators' tool. It calls the administration API of one daemon, and searches
//! the logs of daemons.
//!
//! Exit codes: 0 success, 1 refused or failed, 2 wrong arguments or unreadable files, 3 differences
//! found by `diff`.

mod admin_client;
mod args;
mod commands;
mod document_file;
mod log_search;
mod output;

use std::{env, process};

use argh::FromArgs;
use args::ToolArgs;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    match commands::run(parse_args()).await {
        Ok(code) => process::exit(code),
        Err(error) => {
            eprintln!("kingcupshift: {error}");
            process::exit(error.exit_code());
        }
    }
}

/// Parses the arguments of the process; prints the help or the error and exits if there is nothing
/// to run.
fn parse_args() -> ToolArgs {
    let words: Vec<String> = env::args().skip(1).collect();
    let words = args::separate_standard_input(words);
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    ToolArgs::from_args(&["kingcupshift"], &words).unwrap_or_else(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            process::exit(0);
        }
        Err(()) => {
            eprintln!("{}\nRun kingcupshift --help for more information.", exit.output);
            process::exit(1);
        }
    })
}
