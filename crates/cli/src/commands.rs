//! The subcommands of `paddlemount`.

mod check;
mod forward;
mod serve;
mod standin;

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, process::ExitCode};

use paddlemount_node::settings::SettingsError;

use crate::ctl;

const USAGE: &str = "\
usage: paddlemount COMMAND

commands:
  serve --settings FILE      run a router node
        [--node NAME] [--region NAME] [--zone NAME]
        [--callers ADDRESS] [--peers ADDRESS] [--admin ADDRESS]
  forward --settings FILE    run a node that forwards by the operator's routes, on the users' platform
  check --settings FILE [--forward]
                             name every error in a node's settings, or the first one in a forwarding node's
  standin NAME --settings FILE
                             run a stand-in for a back end or a service of the platform
  demo [--hold]              run nodes, back ends and the platform in one process, with faults
  bench ...                  run an experiment, see `paddlemount bench help`
  load ...                   send load over TCP, see `paddlemount load --help`
  ctl --node ADDRESS ['QUERY']
                             ask a node or change the configuration, see `paddlemount ctl --help`
  help                       print this text";

/// Reports why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line is invalid.
    #[error("{0}\n\n{USAGE}")]
    Usage(String),
    /// A settings file cannot be read.
    #[error("cannot read settings file {path}: {source}")]
    ReadSettings { path: PathBuf, source: std::io::Error },
    /// The settings file of a node is invalid.
    #[error("{}", format_errors(path, errors))]
    Settings { path: PathBuf, errors: Vec<SettingsError> },
    /// The settings file of a stand-in is invalid.
    #[error("{path}: {message}")]
    StandinSettings { path: PathBuf, message: String },
    /// The settings file of a forwarding node is invalid.
    #[error("{path}: {message}")]
    ForwardSettings { path: PathBuf, message: String },
    /// A server could not be started.
    #[error("{0}")]
    Start(String),
}

impl CommandError {
    /// Returns 2 for an invalid command line or settings, and 3 if a server could not be started.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_)
            | Self::ReadSettings { .. }
            | Self::Settings { .. }
            | Self::ForwardSettings { .. }
            | Self::StandinSettings { .. } => ExitCode::from(2),
            Self::Start(_) => ExitCode::from(3),
        }
    }
}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

fn format_errors(path: &std::path::Path, errors: &[SettingsError]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| format!("{}: {error}", path.display())).collect();
    lines.join("\n")
}

/// Runs the command given by the arguments.
pub fn run(mut arguments: lexopt::Parser) -> Result<ExitCode, CommandError> {
    use lexopt::prelude::*;
    let command = match arguments.next()? {
        Some(Value(command)) => command,
        Some(Long("help") | Short('h')) => {
            print_usage();
            return Ok(ExitCode::SUCCESS);
        }
        Some(other) => return Err(other.unexpected().into()),
        None => return Err(CommandError::Usage("a command is missing".into())),
    };
    match command.to_str() {
        Some("serve") => serve::run(arguments)?,
        Some("forward") => forward::run(arguments)?,
        Some("check") => check::run(arguments)?,
        Some("standin") => standin::run(arguments)?,
        Some("load") => return Ok(paddlemount_bench::load::command::main(arguments.raw_args()?)),
        Some("ctl") => return Ok(ctl::run(arguments)),
        Some("bench") => return Ok(paddlemount_bench::command::main(arguments.raw_args()?)),
        Some("demo") => return Ok(paddlemount_bench::demo::main(arguments.raw_args()?)),
        Some("help") => print_usage(),
        _ => {
            let message = format!("unknown command `{}`", command.to_string_lossy());
            return Err(CommandError::Usage(message));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_usage() {
    println!("{USAGE}");
}

/// Reads a settings file.
fn read_settings(path: Option<OsString>) -> Result<(PathBuf, String), CommandError> {
    let Some(path) = path else { return Err(CommandError::Usage("--settings FILE is missing".into())) };
    let path = PathBuf::from(path);
    match std::fs::read_to_string(&path) {
        Ok(text) => Ok((path, text)),
        Err(source) => Err(CommandError::ReadSettings { path, source }),
    }
}

/// Parses the value of an address flag.
fn address(parser: &mut lexopt::Parser, flag: &str) -> Result<SocketAddr, CommandError> {
    let value = parser.value()?;
    let address = value.to_str().and_then(|text| text.parse().ok());
    address.ok_or_else(|| {
        CommandError::Usage(format!("--{flag} needs an IP address with port, as in 127.0.0.1:8080"))
    })
}

/// Prints the ready line with the process's listen addresses to standard output.
fn print_ready(line: &serde_json::Value) {
    use std::io::Write;
    let mut output = std::io::stdout().lock();
    // The parent may have closed the pipe, which must not keep the process from serving.
    let _ = writeln!(output, "{line}").and_then(|()| output.flush());
}
