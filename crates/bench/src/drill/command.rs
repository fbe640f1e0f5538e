//! The subcommand `paddlemount bench drill`.

use lexopt::{Arg, Parser, ValueExt};

use super::{Breakage, Drill, Failure, run_all};
use crate::command::{CommandError, DEFAULT_SEED, parse_seeds, print};

const DEFAULT_DRILL_THREADS: usize = 12;

/// Runs `paddlemount bench drill`.
///
/// # Errors
///
/// If the arguments are invalid, or an invariant was violated.
pub fn run(parser: &mut Parser) -> Result<(), CommandError> {
    let mut names = Vec::new();
    let mut seeds = DEFAULT_SEED..DEFAULT_SEED + 1;
    let (mut threads, mut json) = (DEFAULT_DRILL_THREADS, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Value(name) => names.push(name.string()?),
            Arg::Long("seeds") => {
                let list = parse_seeds(&parser.value()?.string()?)?;
                seeds = list[0]..list[list.len() - 1] + 1;
            }
            Arg::Long("threads") => threads = parser.value()?.parse()?,
            Arg::Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let mut drills = Vec::new();
    for name in &names {
        if name == "all" {
            drills.extend(Drill::all());
        } else {
            drills.push(name.parse()?);
        }
    }
    if drills.is_empty() {
        return Err(CommandError::Missing("the drill's name"));
    }
    let (failures, summary) = run_all(&drills, seeds, Breakage::None, threads);
    print_failures(&failures, json)?;
    let line = serde_json::to_string(&summary).expect("a summary is representable as JSON");
    print(&format!("{line}\n"))?;
    if summary.violations == 0 { Ok(()) } else { Err(CommandError::Violations(summary.violations)) }
}

fn print_failures(failures: &[Failure], json: bool) -> Result<(), CommandError> {
    for failure in failures {
        if json {
            let line = serde_json::to_string(failure).expect("a failure is representable as JSON");
            print(&format!("{line}\n"))?;
            continue;
        }
        let trace = failure.trace.join("\n  ");
        let Failure { drill, seed, invariant, description, reproduce_command, .. } = failure;
        print(&format!(
            "{drill}, seed {seed}: {invariant:?} broken: {description}\n  {trace}\nrepeat: {reproduce_command}\n\n"
        ))?;
    }
    Ok(())
}
