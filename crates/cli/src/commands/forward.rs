//! `paddlemount forward`: runs a node that forwards by the operator's routes.

use std::path::PathBuf;

use lexopt::prelude::*;
use paddlemount_forward::process::StartError;
use paddlemount_platform::PlatformAdapter;

use super::CommandError;

/// Runs a forwarding node until it stops.
pub fn run(mut arguments: lexopt::Parser) -> Result<(), CommandError> {
    let mut settings = None;
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("settings") => settings = Some(PathBuf::from(arguments.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let Some(settings) = settings else {
        return Err(CommandError::Usage("--settings FILE is missing".into()));
    };
    paddlemount_forward::process::run(settings.clone(), Box::new(PlatformAdapter)).map_err(
        |error| match error {
            StartError::Settings(error) => {
                CommandError::ForwardSettings { path: settings, message: error.to_string() }
            }
            error @ StartError::System { .. } => CommandError::Start(error.to_string()),
        },
    )
}
