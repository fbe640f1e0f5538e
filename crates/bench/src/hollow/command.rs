//! The subcommand `paddlemount bench hollow`.

use std::{io::Write, thread};

use lexopt::{Arg, Parser, ValueExt};

use super::report::{Effort, SHAPES, SizeReport, measure};
use crate::command::CommandError;

/// Usage text of the subcommand.
pub const USAGE: &str = "\
  paddlemount bench hollow [--quick] [--nodes N] [--seed N]
                        one line of JSON for each size and share of lost messages
";

/// Message loss rates that are measured.
const LOSSES: [f64; 2] = [0.0, 0.01];

/// Runs the subcommand with the arguments that `parser` has left.
///
/// # Errors
///
/// Arguments that cannot be read, or standard output that cannot be written.
pub fn run(parser: &mut Parser) -> Result<(), CommandError> {
    let mut effort = Effort::FULL;
    let mut nodes: Option<usize> = None;
    let mut seed = 1;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("quick") => effort = Effort::QUICK,
            Arg::Long("nodes") => nodes = Some(parser.value()?.parse()?),
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            Arg::Long("json") => {}
            other => return Err(other.unexpected().into()),
        }
    }
    let shapes = SHAPES.into_iter().filter(|shape| nodes.is_none_or(|nodes| shape.0 == nodes));
    let runs: Vec<_> = shapes.flat_map(|shape| LOSSES.map(|loss| (shape, loss))).collect();
    for report in measure_all(&runs, seed, effort) {
        let line = serde_json::to_string(&report).expect("a report has a JSON form");
        let written = writeln!(std::io::stdout(), "{line}");
        written
            .map_err(|source| CommandError::Output { destination: "standard output".to_owned(), source })?;
    }
    Ok(())
}

type Run = ((usize, usize, usize), f64);

/// Runs two measurements at a time; more would distort the measured processor time.
fn measure_all(runs: &[Run], seed: u64, effort: Effort) -> Vec<SizeReport> {
    let mut reports = Vec::new();
    for pair in runs.chunks(2) {
        thread::scope(|scope| {
            let running: Vec<_> = pair
                .iter()
                .map(|(shape, loss)| scope.spawn(move || measure(*shape, *loss, seed, effort)))
                .collect();
            reports.extend(running.into_iter().filter_map(|handle| handle.join().ok()));
        });
    }
    reports
}
