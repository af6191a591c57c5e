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

use std::process;

use args::ToolArgs;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let args: ToolArgs = argh::from_env();
    match commands::run(args).await {
        Ok(code) => process::exit(code),
        Err(error) => {
            eprintln!("kingcupshift: {error}");
            process::exit(error.exit_code());
        }
    }
}
