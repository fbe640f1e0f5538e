//! The command `paddlemount load`: arguments and output.

use std::{ffi::OsString, net::SocketAddr, process::ExitCode, time::Duration};

use lexopt::{Arg, Parser, ValueExt};
use paddlemount_protocol::identity::WeightsVersion;
use serde::Serialize;

use super::{
    LoadError, LoadSettings, Workload,
    hold::{HoldSettings, hold},
    run,
};

/// Usage text.
pub const USAGE: &str = "\
paddlemount load: open-loop load over TCP; every answer is compared with what it must be

  paddlemount load --node ADDRESS [--node ADDRESS ...] --tenant NAME --key KEY --model NAME
                   --weights N [--engine ADDRESS] [--pid PID ...] [--rate N] [--seconds N]
                   [--warm-up N] [--openings N] [--opening-bytes N] [--own-bytes N]
                   [--max-tokens N] [--deadline-ms N] [--threads N] [--seed N] [--json]
  paddlemount load --hold N --node ADDRESS --pid PID ...   holds N streams open instead

--engine  sends as many requests direct to an engine, to tell what nodes add
--pid     a node's process; gives requests a core second, and with --hold bytes a stream

Exit codes: 0 every answer was whole and right; 1 some were not; 2 the arguments or the run failed.
";

/// An error of the command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error("{0}; see paddlemount load --help")]
    Arguments(#[from] lexopt::Error),
    #[error("{0} is missing; see paddlemount load --help")]
    Missing(&'static str),
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error("cannot write the report: {0}")]
    Report(#[from] serde_json::Error),
}

struct Options {
    settings: LoadSettings,
    hold: Option<usize>,
    json: bool,
}

/// Runs the command with the arguments after `load`.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match execute(arguments) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("paddlemount load: {error}");
            ExitCode::from(2)
        }
    }
}

fn execute(arguments: impl IntoIterator<Item = OsString>) -> Result<ExitCode, CommandError> {
    let Some(options) = parse_arguments(Parser::from_args(arguments))? else {
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    };
    match options.hold {
        Some(streams) => hold_streams(options, streams),
        None => send_load(&options),
    }
}

fn send_load(options: &Options) -> Result<ExitCode, CommandError> {
    let report = run(&options.settings)?;
    if options.json {
        print_json(&report)?;
    } else {
        print!("{report}");
    }
    Ok(if report.all_complete() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn hold_streams(options: Options, streams: usize) -> Result<ExitCode, CommandError> {
    let node = *options.settings.nodes.first().ok_or(CommandError::Missing("--node"))?;
    let report = hold(&HoldSettings {
        node,
        workload: options.settings.workload,
        streams,
        hold: options.settings.duration,
        node_process: options.settings.node_processes.first().copied(),
        threads: options.settings.threads,
    })?;
    print_json(&report)?;
    Ok(ExitCode::SUCCESS)
}

fn print_json(report: &impl Serialize) -> Result<(), CommandError> {
    println!("{}", serde_json::to_string(report)?);
    Ok(())
}

/// Reads the arguments; none if help is requested.
fn parse_arguments(mut parser: Parser) -> Result<Option<Options>, CommandError> {
    let mut options = Options { settings: defaults(), hold: None, json: false };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(None),
            Arg::Long("json") => options.json = true,
            Arg::Long("hold") => options.hold = Some(parser.value()?.parse()?),
            Arg::Long(name) => {
                let name = name.to_owned();
                parse_option(&mut options.settings, &name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    check_required(&options.settings)?;
    Ok(Some(options))
}

fn defaults() -> LoadSettings {
    LoadSettings {
        nodes: Vec::new(),
        engine: None,
        workload: Workload::new("".into(), String::new(), "".into(), WeightsVersion(0)),
        requests_per_second: 20.0,
        duration: Duration::from_secs(10),
        warm_up: Duration::from_secs(2),
        node_processes: Vec::new(),
        threads: 2,
    }
}

fn parse_option(settings: &mut LoadSettings, name: &str, parser: &mut Parser) -> Result<(), CommandError> {
    let workload = &mut settings.workload;
    match name {
        "node" => settings.nodes.push(parser.value()?.parse::<SocketAddr>()?),
        "engine" => settings.engine = Some(parser.value()?.parse()?),
        "pid" => settings.node_processes.push(parser.value()?.parse()?),
        "rate" => settings.requests_per_second = parser.value()?.parse()?,
        "seconds" => settings.duration = parse_seconds(parser)?,
        "warm-up" => settings.warm_up = parse_seconds(parser)?,
        "threads" => settings.threads = parser.value()?.parse()?,
        "tenant" => workload.tenant = parser.value()?.string()?.into(),
        "key" => workload.key = parser.value()?.string()?,
        "model" => workload.model = parser.value()?.string()?.into(),
        "weights" => workload.weights = WeightsVersion(parser.value()?.parse()?),
        "openings" => workload.openings = parser.value()?.parse()?,
        "opening-bytes" => workload.opening_bytes = parser.value()?.parse()?,
        "own-bytes" => workload.own_bytes = parser.value()?.parse()?,
        "max-tokens" => workload.max_tokens = parser.value()?.parse()?,
        "deadline-ms" => workload.deadline_ms = parser.value()?.parse()?,
        "seed" => workload.seed = parser.value()?.parse()?,
        unknown => return Err(Arg::Long(unknown).unexpected().into()),
    }
    Ok(())
}

fn parse_seconds(parser: &mut Parser) -> Result<Duration, CommandError> {
    Ok(parser.value()?.parse_with(|text| {
        let seconds = text.parse::<f64>().map_err(|error| error.to_string())?;
        Duration::try_from_secs_f64(seconds).map_err(|error| error.to_string())
    })?)
}

fn check_required(settings: &LoadSettings) -> Result<(), CommandError> {
    let workload = &settings.workload;
    let missing = [
        ("--node", settings.nodes.is_empty()),
        ("--tenant", workload.tenant.as_str().is_empty()),
        ("--key", workload.key.is_empty()),
        ("--model", workload.model.as_str().is_empty()),
        ("--weights", workload.weights == WeightsVersion(0)),
    ];
    match missing.iter().find(|(_, is_missing)| *is_missing) {
        Some((name, _)) => Err(CommandError::Missing(name)),
        None => Ok(()),
    }
}
