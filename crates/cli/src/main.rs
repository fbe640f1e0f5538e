//! The `paddlemount` command.

mod commands;
mod ctl;
mod logging;

use std::process::ExitCode;

fn main() -> ExitCode {
    match commands::run(lexopt::Parser::from_env()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("paddlemount: {error}");
            error.exit_code()
        }
    }
}
