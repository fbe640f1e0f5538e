//! `paddlemount ctl`: sends queries to a node from the command line or an interactive shell.

mod output;
mod shell;

use std::{ffi::OsString, fs, net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use lexopt::prelude::*;
use output::Format;
use paddlemount_language::{
    answer::{Answer, Body},
    parse,
    tree::Statement,
};
use paddlemount_node::admin::client::{AdminClient, AdminClientError};
use paddlemount_protocol::{configuration::ChangeOutcome, refusal::RefusalCode};

/// Help text of the command.
pub const USAGE: &str = "\
usage: paddlemount ctl --node ADDRESS [--key-file FILE | --key-env NAME]
                       [--json | --csv] [--deadline-ms N] [--history FILE] ['QUERY']

Asks the node whose administration interface listens at ADDRESS. Without QUERY a shell is started.
The operator's key is read from FILE or from the environment variable NAME (PADDLEMOUNT_KEY).
Try: paddlemount ctl --node 127.0.0.1:8082 help

exit codes: 0 answered, 1 refused or not found, 2 wrong arguments or query, 3 no answer from the node,
            4 the outcome of a change is unknown";

const DEFAULT_KEY_VARIABLE: &str = "PADDLEMOUNT_KEY";
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);

/// Reports why a query has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// The arguments are invalid.
    #[error("{0}\n\n{USAGE}")]
    Usage(String),
    /// The key file cannot be read.
    #[error("cannot read the key from {path}: {source}")]
    KeyFile { path: PathBuf, source: std::io::Error },
    /// The query has a syntax error.
    #[error("{0}")]
    Syntax(#[from] paddlemount_language::SyntaxError),
    /// The node refused the query or did not answer.
    #[error(transparent)]
    Client(#[from] AdminClientError),
    /// The terminal or standard output failed.
    #[error("{0}")]
    Terminal(String),
}

impl CtlError {
    /// Returns the exit code for this kind of failure.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::KeyFile { .. } | Self::Syntax(_) => ExitCode::from(2),
            Self::Client(AdminClientError::Refused(problem))
                if problem.error.code == RefusalCode::InvalidRequest =>
            {
                ExitCode::from(2)
            }
            Self::Client(AdminClientError::Refused(_)) => ExitCode::from(1),
            Self::Client(_) | Self::Terminal(_) => ExitCode::from(3),
        }
    }
}

impl From<lexopt::Error> for CtlError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

struct Arguments {
    node: SocketAddr,
    key: String,
    format: Format,
    deadline: Duration,
    history: Option<PathBuf>,
    query: String,
}

/// Runs the subcommand with the arguments after its name.
pub fn run(parser: lexopt::Parser) -> ExitCode {
    match read_arguments(parser).and_then(|arguments| arguments.map_or(Ok(ExitCode::SUCCESS), execute)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

fn read_arguments(mut parser: lexopt::Parser) -> Result<Option<Arguments>, CtlError> {
    let (mut node, mut key_file, mut key_variable, mut history) = (None, None, None, None);
    let (mut format, mut deadline) = (Format::Text, DEFAULT_DEADLINE);
    let mut words: Vec<String> = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("node") => node = Some(read_address(&parser.value()?)?),
            Long("key-file") => key_file = Some(PathBuf::from(parser.value()?)),
            Long("key-env") => key_variable = Some(parser.value()?.string()?),
            Long("json") => format = Format::Json,
            Long("csv") => format = Format::Csv,
            Long("deadline-ms") => deadline = Duration::from_millis(parser.value()?.parse()?),
            Long("history") => history = Some(PathBuf::from(parser.value()?)),
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(None);
            }
            Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let node = node.ok_or_else(|| CtlError::Usage("--node ADDRESS is missing".to_owned()))?;
    let key = read_key(key_file, key_variable)?;
    Ok(Some(Arguments { node, key, format, deadline, history, query: words.join(" ") }))
}

fn read_address(value: &OsString) -> Result<SocketAddr, CtlError> {
    let address = value.to_str().and_then(|text| text.parse().ok());
    address.ok_or_else(|| {
        CtlError::Usage("--node needs an IP address with port, as in 127.0.0.1:8082".to_owned())
    })
}

fn read_key(file: Option<PathBuf>, variable: Option<String>) -> Result<String, CtlError> {
    if let Some(path) = file {
        return match fs::read_to_string(&path) {
            Ok(text) => Ok(text.trim().to_owned()),
            Err(source) => Err(CtlError::KeyFile { path, source }),
        };
    }
    let variable = variable.unwrap_or_else(|| DEFAULT_KEY_VARIABLE.to_owned());
    std::env::var(&variable).map_err(|_| {
        CtlError::Usage(format!(
            "no operator key: give --key-file, or set the environment variable {variable}"
        ))
    })
}

fn execute(arguments: Arguments) -> Result<ExitCode, CtlError> {
    let client = AdminClient::new(arguments.node, arguments.key, arguments.deadline);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CtlError::Terminal(error.to_string()))?;
    if arguments.query.is_empty() {
        shell::run(&runtime, &client, arguments.format, arguments.history)?;
        return Ok(ExitCode::SUCCESS);
    }
    runtime.block_on(answer(&client, arguments.format, &arguments.query))
}

/// Sends one statement and prints the answer. A statement with a syntax error is not sent.
async fn answer(client: &AdminClient, format: Format, query: &str) -> Result<ExitCode, CtlError> {
    if let Statement::Watch(_) = parse(query)? {
        let mut stream = client.watch(query).await?;
        let mut printer = output::WatchPrinter::new(format);
        while let Some(line) = stream.line().await.map_err(AdminClientError::from)? {
            printer.print(&line)?;
        }
        return Ok(ExitCode::SUCCESS);
    }
    let answer = client.query(query).await?;
    output::print(&answer, format)?;
    Ok(exit_code(&answer))
}

fn exit_code(answer: &Answer) -> ExitCode {
    match &answer.body {
        Body::Change { outcome: ChangeOutcome::Refused { .. }, .. } => ExitCode::from(1),
        Body::Change { outcome: ChangeOutcome::Unknown { .. }, .. } => ExitCode::from(4),
        _ => ExitCode::SUCCESS,
    }
}
