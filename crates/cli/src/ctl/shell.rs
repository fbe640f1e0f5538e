//! An interactive shell with history and completion.

use std::path::PathBuf;

use paddlemount_language::complete::complete;
use paddlemount_node::admin::client::AdminClient;
use rustyline::{
    Context, Editor, Helper, completion::Completer, error::ReadlineError, highlight::Highlighter,
    hint::Hinter, history::FileHistory, validate::Validator,
};
use tokio::runtime::Runtime;

use super::{CtlError, answer, output::Format};

const PROMPT: &str = "paddlemount> ";

/// Completes keywords and names of the query language.
struct LanguageHelper;

impl Completer for LanguageHelper {
    type Candidate = String;

    fn complete(
        &self,
        line: &str,
        position: usize,
        _context: &Context<'_>,
    ) -> rustyline::Result<(usize, Vec<String>)> {
        let (start, words) = complete(&line[..position]);
        Ok((start, words.into_iter().map(str::to_owned).collect()))
    }
}

impl Hinter for LanguageHelper {
    type Hint = String;
}

impl Highlighter for LanguageHelper {}
impl Validator for LanguageHelper {}
impl Helper for LanguageHelper {}

/// Reads and executes statements until the input ends. The history is saved only if a history file is
/// given.
pub fn run(
    runtime: &Runtime,
    client: &AdminClient,
    format: Format,
    history: Option<PathBuf>,
) -> Result<(), CtlError> {
    let terminal = |error: ReadlineError| CtlError::Terminal(error.to_string());
    let mut editor: Editor<LanguageHelper, FileHistory> = Editor::new().map_err(terminal)?;
    editor.set_helper(Some(LanguageHelper));
    if let Some(path) = history.as_ref().filter(|path| path.exists()) {
        editor.load_history(path).map_err(terminal)?;
    }
    loop {
        let line = match editor.readline(PROMPT) {
            Ok(line) => line,
            Err(ReadlineError::Interrupted) => continue,
            Err(ReadlineError::Eof) => break,
            Err(error) => return Err(terminal(error)),
        };
        let statement = line.trim();
        if statement.is_empty() {
            continue;
        }
        if ["exit", "quit"].contains(&statement) {
            break;
        }
        editor.add_history_entry(statement).map_err(terminal)?;
        runtime.block_on(run_statement(client, format, statement));
    }
    match &history {
        Some(path) => editor.save_history(path).map_err(terminal),
        None => Ok(()),
    }
}

/// Executes one statement; an interrupt cancels the statement but not the shell.
async fn run_statement(client: &AdminClient, format: Format, statement: &str) {
    tokio::select! {
        result = answer(client, format, statement) => {
            if let Err(error) = result {
                eprintln!("{error}");
            }
        }
        _ = tokio::signal::ctrl_c() => eprintln!("stopped"),
    }
}
