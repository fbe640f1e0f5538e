//! The program as a process of a test, which ends with the test however that ends.

use std::process::Command;

/// The program, with nothing asked of it yet. It ends with the thread that starts it, also where the whole test is killed.
pub fn program() -> Command {
    // It takes the place of this helper, and gets the signal when its parent thread ends. Without that the nodes of a test that
    // was killed live on, and call addresses that belong to others by then.
    let mut command = Command::new("setpriv");
    command.args(["--pdeathsig", "KILL", "--", env!("CARGO_BIN_EXE_paddlemount")]);
    command
}
