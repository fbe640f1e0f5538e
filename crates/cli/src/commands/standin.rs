//! `paddlemount standin`: runs a stand-in for a back end or a platform service.

use lexopt::prelude::*;
use paddlemount_standins::{server, settings::StandinSettings};
use tokio::signal::unix::{SignalKind, signal};

use super::{CommandError, print_ready, read_settings};
use crate::logging;

/// Runs a stand-in until a signal stops it.
pub fn run(mut arguments: lexopt::Parser) -> Result<(), CommandError> {
    let mut path = None;
    let mut name = None;
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("settings") => path = Some(arguments.value()?),
            Value(value) if name.is_none() => name = Some(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let Some(name) = name else { return Err(CommandError::Usage("the stand-in's NAME is missing".into())) };
    let (path, text) = read_settings(path)?;
    let invalid = |message| CommandError::StandinSettings { path: path.clone(), message };
    let settings = StandinSettings::from_toml(&text).map_err(|error| invalid(error.to_string()))?;
    let kind = kind(&settings).ok_or_else(|| invalid("the kind cannot be read".into()))?;
    if kind != name {
        return Err(invalid(format!("describes `{kind}`, not `{name}`; run `standin {kind}`")));
    }
    logging::start(paddlemount_node::settings::LogSettings::default());
    serve(&kind, settings)
}

fn kind(settings: &StandinSettings) -> Option<String> {
    let value = serde_json::to_value(settings).ok()?;
    value.get("kind")?.as_str().map(str::to_owned)
}

fn serve(kind: &str, settings: StandinSettings) -> Result<(), CommandError> {
    let start_error =
        |error: std::io::Error| CommandError::Start(format!("cannot wait for signals: {error}"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(start_error)?;
    let _guard = runtime.enter();
    let mut terminate = signal(SignalKind::terminate()).map_err(start_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(start_error)?;
    let standin = server::start(settings).map_err(|error| CommandError::Start(error.to_string()))?;
    print_ready(&serde_json::json!({ "ready": kind, "address": standin.address() }));
    runtime.block_on(async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
    standin.stop();
    Ok(())
}
