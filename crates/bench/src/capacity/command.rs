//! The subcommand `paddlemount bench capacity`.

use std::{io::Write, path::PathBuf};

use lexopt::{Arg, Parser};

use super::{
    Slope, plots,
    roles::{Effort, measure},
};
use crate::command::CommandError;

/// Runs the subcommand with the arguments that `parser` has left.
///
/// # Errors
///
/// Arguments that cannot be read, or output that cannot be written.
pub fn run(parser: &mut Parser) -> Result<(), CommandError> {
    let mut effort = Effort::FULL;
    let mut is_json = false;
    let mut directory: Option<PathBuf> = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("quick") => effort = Effort::QUICK,
            Arg::Long("json") => is_json = true,
            Arg::Long("plots") => directory = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let slopes = measure(effort);
    if let Some(directory) = directory {
        let failed = |error: std::io::Error| CommandError::Output {
            destination: directory.display().to_string(),
            source: error,
        };
        std::fs::create_dir_all(&directory).map_err(failed)?;
        plots::draw_all(&slopes, &directory).map_err(|error| failed(std::io::Error::other(error)))?;
    }
    let text = if is_json { json(&slopes) } else { table(&slopes) };
    let written = std::io::stdout().write_all(text.as_bytes());
    written.map_err(|source| CommandError::Output { destination: "standard output".to_owned(), source })
}

fn json(slopes: &[Slope]) -> String {
    let lines = slopes.iter().map(|slope| serde_json::to_string(slope).expect("a slope has a JSON form"));
    lines.map(|line| line + "\n").collect()
}

/// A Markdown table.
fn table(slopes: &[Slope]) -> String {
    let mut text = String::from(
        "| role | quantity | over | measured at | slope ± error | r² | target size | at target | share of budget |\n\
         |---|---|---|---|---|---|---|---|---|\n",
    );
    for slope in slopes {
        let sizes: Vec<String> = slope.points.iter().map(|(size, _)| number(*size)).collect();
        let mark = if slope.is_extrapolated { " (extrapolated)" } else { "" };
        let share = slope.share_of_budget.map_or("–".to_owned(), |share| format!("{:.1}%", share * 100.0));
        text.push_str(&format!(
            "| {} | {} | {} | {} | {} ± {} | {:.3} | {} | {}{mark} | {share} |\n",
            slope.role,
            slope.quantity,
            slope.over,
            sizes.join(", "),
            number(slope.fit.slope),
            number(slope.fit.slope_error),
            slope.fit.r_squared,
            number(slope.target_size),
            number(slope.at_target),
        ));
    }
    text
}

/// Formats with about three significant digits.
fn number(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude == 0.0 {
        "0".to_owned()
    } else if magnitude >= 100.0 {
        format!("{value:.0}")
    } else if magnitude >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.3e}")
    }
}
