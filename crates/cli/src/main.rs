//! `kingcupshift`: the operators' tool. It speaks to one daemon's administration API, and reads
//! daemons' logs.
//!
//! Exit codes: 0 done, 1 refused or failed, 2 wrong use, 3 differences found by `diff`.

mod admin_client;
mod args;
mod commands;
mod document_file;
mod output;
mod story;

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
