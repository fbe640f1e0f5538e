//! Plays one case of the review: `review-rig-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run.

mod caller;
mod handed_on_lost;
mod handed_on_twice;
mod node;
mod record;
mod runner_process;
mod silent_connections;
mod unframed_crash;
mod watch_backlog;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, runner, address, id] = arguments.as_slice()
        && runner == "runner"
    {
        return ExitCode::from(u8::from(runner_process::run(address, id).is_err()));
    }
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-rig-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match case.as_str() {
        "watch-backlog" => watch_backlog::play(folder, trouble).await,
        "silent-connections" => silent_connections::play(folder, trouble).await,
        "handed-on-lost" => handed_on_lost::play(folder, trouble).await,
        "handed-on-twice" => handed_on_twice::play(folder, trouble).await,
        "unframed-crash" => unframed_crash::play(folder, trouble).await,
        other => Err(format!("no case {other}")),
    };
    match result {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(problem) => {
            eprintln!("could not run: {problem}");
            ExitCode::from(2)
        }
    }
}
