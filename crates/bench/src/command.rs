//! The command `paddlemount bench`: arguments and output.

use std::{
    ffi::OsString,
    io::{self, Write},
    num::ParseIntError,
    path::PathBuf,
    process::ExitCode,
};

use lexopt::{Arg, Parser, ValueExt};

use crate::{
    drill::UnknownDrill,
    experiment::{self, Mechanism, RunSettings, metrics::PolicyResult, summary::Summary},
    policy::PolicyName,
    report,
    scenario::{Scenario, ScenarioError},
};

/// Usage text.
pub const USAGE: &str = "\
paddlemount bench: experiments in virtual time

  paddlemount bench run --scenario NAME|FILE.toml [--policy P[,P...]] [--seed N | --seeds A..B]
                        [--without MECHANISM[,...]] [--threads N] [--json | --table]
  paddlemount bench report --scenario NAME|FILE.toml [--policy P[,P...]] [--seed N]
                        [--threads N] --output FILE.html
  paddlemount bench scenarios
  paddlemount bench drill NAME|all [--seeds A..B] [--threads N] [--json]
  paddlemount bench hollow [--quick] [--nodes N] [--seed N]
  paddlemount bench capacity [--quick] [--json] [--plots DIRECTORY]

policies:   round-robin, least-loaded, sticky, prefix, oracle
mechanisms: heat-copies, own-in-flight, anchors, feeds, answers, expected-eviction, near-equals, import
--seeds A..B runs the seeds from A up to and without B; the table then shows medians.
";

pub(crate) const DEFAULT_SEED: u64 = 1;
const DEFAULT_THREADS: usize = 4;

/// An error of the command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error("{0}; see paddlemount bench --help")]
    Arguments(#[from] lexopt::Error),
    #[error("there is no subcommand {0:?}; use run, report, scenarios, hollow or capacity")]
    UnknownSubcommand(String),
    /// A required option is missing.
    #[error("{0} is missing; see paddlemount bench --help")]
    Missing(&'static str),
    #[error("--seeds {text:?} is not a range; write it as 1..6")]
    Seeds {
        text: String,
        /// The parse error of a bound, if it is not a number.
        source: Option<ParseIntError>,
    },
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error("cannot write {destination}: {source}")]
    Output { destination: String, source: io::Error },
    #[error(transparent)]
    UnknownDrill(#[from] UnknownDrill),
    /// The number of runs with violations.
    #[error("{0} runs broke a promise")]
    Violations(usize),
    #[error("cannot draw the report: {0}")]
    Report(#[from] report::ReportError),
}

enum Format {
    Json,
    Table,
}

struct Options {
    scenario: Option<String>,
    policies: Vec<PolicyName>,
    seeds: Vec<u64>,
    without: Vec<Mechanism>,
    threads: usize,
    format: Format,
    output: Option<PathBuf>,
}

/// Runs `paddlemount bench` with the arguments after `bench`.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match dispatch(Parser::from_args(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("paddlemount bench: {error}");
            ExitCode::from(2)
        }
    }
}

fn dispatch(mut parser: Parser) -> Result<(), CommandError> {
    let subcommand = match parser.next()? {
        Some(Arg::Value(name)) => name.string()?,
        Some(Arg::Long("help") | Arg::Short('h')) => return print(USAGE),
        Some(other) => return Err(other.unexpected().into()),
        None => return Err(CommandError::UnknownSubcommand(String::new())),
    };
    match subcommand.as_str() {
        "run" => run(parse_options(&mut parser)?),
        "report" => write_report(parse_options(&mut parser)?),
        "scenarios" => list_scenarios(),
        "drill" => crate::drill::command::run(&mut parser),
        "hollow" => crate::hollow::command::run(&mut parser),
        "capacity" => crate::capacity::command::run(&mut parser),
        _ => Err(CommandError::UnknownSubcommand(subcommand)),
    }
}

fn parse_options(parser: &mut Parser) -> Result<Options, CommandError> {
    let mut options = Options {
        scenario: None,
        policies: PolicyName::ALL.to_vec(),
        seeds: vec![DEFAULT_SEED],
        without: Vec::new(),
        threads: DEFAULT_THREADS,
        format: Format::Table,
        output: None,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("scenario") => options.scenario = Some(parser.value()?.string()?),
            Arg::Long("policy") => options.policies = parse_list(parser)?,
            Arg::Long("without") => options.without = parse_list(parser)?,
            Arg::Long("seed") => options.seeds = vec![parser.value()?.parse()?],
            Arg::Long("seeds") => options.seeds = parse_seeds(&parser.value()?.string()?)?,
            Arg::Long("threads") => options.threads = parser.value()?.parse()?,
            Arg::Long("json") => options.format = Format::Json,
            Arg::Long("table") => options.format = Format::Table,
            Arg::Long("output") => options.output = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(options)
}

fn parse_list<T>(parser: &mut Parser) -> Result<Vec<T>, CommandError>
where
    T: std::str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    let text = parser.value()?.string()?;
    let parsed =
        text.split(',').map(|part| part.parse::<T>().map_err(|error| lexopt::Error::Custom(error.into())));
    Ok(parsed.collect::<Result<_, _>>()?)
}

pub(crate) fn parse_seeds(text: &str) -> Result<Vec<u64>, CommandError> {
    let invalid = |source| CommandError::Seeds { text: text.to_owned(), source };
    let (first, end) = text.split_once("..").ok_or_else(|| invalid(None))?;
    let first: u64 = first.parse().map_err(|error| invalid(Some(error)))?;
    let end: u64 = end.parse().map_err(|error| invalid(Some(error)))?;
    if first >= end {
        return Err(invalid(None));
    }
    Ok((first..end).collect())
}

fn run_options(options: &Options) -> Result<Vec<PolicyResult>, CommandError> {
    let name = options.scenario.as_deref().ok_or(CommandError::Missing("--scenario"))?;
    let scenario = Scenario::load(name)?;
    let mut runs = Vec::new();
    for policy in &options.policies {
        for seed in &options.seeds {
            let without = options.without.clone();
            runs.push(RunSettings { scenario: name.to_owned(), policy: *policy, seed: *seed, without });
        }
    }
    Ok(experiment::run_all(&scenario, &runs, options.threads))
}

fn run(options: Options) -> Result<(), CommandError> {
    let results = run_options(&options)?;
    match options.format {
        Format::Json => {
            for result in &results {
                let line = serde_json::to_string(result).expect("results are representable as JSON");
                print(&format!("{line}\n"))?;
            }
            Ok(())
        }
        Format::Table => print(&Summary::table(&results)),
    }
}

fn write_report(options: Options) -> Result<(), CommandError> {
    let path = options.output.clone().ok_or(CommandError::Missing("--output"))?;
    let results = run_options(&options)?;
    let page = report::html(&results)?;
    std::fs::write(&path, page)
        .map_err(|source| CommandError::Output { destination: path.display().to_string(), source })
}

fn list_scenarios() -> Result<(), CommandError> {
    for (name, _) in crate::scenario::BUNDLED {
        let scenario = Scenario::load(name)?;
        print(&format!("{name:10} {}\n", scenario.description))?;
    }
    Ok(())
}

pub(crate) fn print(text: &str) -> Result<(), CommandError> {
    let result = io::stdout().write_all(text.as_bytes());
    result.map_err(|source| CommandError::Output { destination: "standard output".to_owned(), source })
}
