//! Logging to standard error as text or JSON lines.

use logforth::{
    append,
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
};
use paddlemount_node::settings::{LogFormat, LogSettings};

/// Installs the logger. Standard output is reserved for the output of commands.
pub fn start(settings: LogSettings) {
    let filter = LevelFilter::MoreSevereEqual(level(settings.level));
    let output = match settings.format {
        LogFormat::Text => append::Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => append::Stderr::default().with_layout(JsonLayout::default()),
    };
    let result = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(output))
        .try_apply();
    if let Err(error) = result {
        eprintln!("paddlemount: cannot log: {error}");
    }
}

fn level(level: log::LevelFilter) -> Level {
    match level {
        log::LevelFilter::Off | log::LevelFilter::Error => Level::Error,
        log::LevelFilter::Warn => Level::Warn,
        log::LevelFilter::Info => Level::Info,
        log::LevelFilter::Debug => Level::Debug,
        log::LevelFilter::Trace => Level::Trace,
    }
}
