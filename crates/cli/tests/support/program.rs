//! The program as a process of a test, which ends with the test however that ends.

use std::{
    process::Command,
    sync::atomic::{AtomicU64, Ordering},
};

/// A build of another commit, by its path: every second forwarding node that starts is one of it.
const PRODUCTION: &str = "PADDLEMOUNT_PRODUCTION";

/// The program, with nothing asked of it yet. It ends with the thread that starts it, also where the whole test is killed.
pub fn program() -> Command {
    program_at(env!("CARGO_BIN_EXE_paddlemount"))
}

/// The program of a forwarding node: this build, or by turns one of the commit in production where a test by hand names it.
#[allow(dead_code, reason = "other tests that use this file start no forwarding nodes")]
pub fn forwarding_program() -> Command {
    static STARTED: AtomicU64 = AtomicU64::new(0);
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    match std::env::var(PRODUCTION) {
        Ok(path) if number % 2 == 1 => program_at(&path),
        _ => program(),
    }
}

fn program_at(path: &str) -> Command {
    // It takes the place of this helper, and gets the signal when its parent thread ends. Without that the nodes of a test that
    // was killed live on, and call addresses that belong to others by then.
    let mut command = Command::new("setpriv");
    command.args(["--pdeathsig", "KILL", "--", path]);
    command
}
