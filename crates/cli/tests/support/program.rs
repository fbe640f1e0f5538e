//! The program as a process of a test, which ends with the test however that ends.

use std::process::Command;

/// The program, with nothing asked of it yet. It ends with the thread that starts it, also where the whole test is killed.
pub fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_paddlemount"))
}
