//! `paddlemount check`: validates the settings of a node or, with `--forward`, of a forwarding node.

use std::path::Path;

use lexopt::prelude::*;
use paddlemount_forward::settings::ForwardSettings;
use paddlemount_node::settings::NodeSettings;

use super::{CommandError, read_settings};

/// Reports the errors in a settings file.
pub fn run(mut arguments: lexopt::Parser) -> Result<(), CommandError> {
    let mut path = None;
    let mut forward = false;
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("forward") => forward = true,
            Long("settings") => path = Some(arguments.value()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let (path, text) = read_settings(path)?;
    if forward {
        return check_forward(&path, &text);
    }
    match NodeSettings::parse(&text) {
        Ok(settings) => {
            println!("{}: correct, for node {} in zone {}", path.display(), settings.node, settings.zone);
            Ok(())
        }
        Err(errors) => Err(CommandError::Settings { path, errors }),
    }
}

fn check_forward(path: &Path, text: &str) -> Result<(), CommandError> {
    match ForwardSettings::parse(text) {
        Ok(settings) => {
            println!(
                "{}: correct, for forwarding node {} in zone {}",
                path.display(),
                settings.node,
                settings.zone
            );
            Ok(())
        }
        Err(error) => {
            Err(CommandError::ForwardSettings { path: path.to_path_buf(), message: error.to_string() })
        }
    }
}
