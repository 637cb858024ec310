//! Structured logs that never delay a request.

use std::io::{IsTerminal, Write, stderr, stdout};

use derive_more::{Display, FromStr};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// What is logged when the environment does not say.
const DEFAULT_FILTER: &str = "info";

/// How many lines wait for standard output; later ones are dropped and never delay a request.
const QUEUE_LINES: usize = 8_192;

/// How log lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr)]
pub enum Format {
    /// One readable line each.
    #[default]
    #[display("text")]
    Text,
    /// One JSON object each.
    #[display("json")]
    Json,
}

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Standard output, for a daemon.
    Output,
    /// Standard error, where standard output holds the command's result.
    Error,
}

/// Starts logging; the environment variable `RUST_LOG` sets the filter.
///
/// The last lines are written when the guard is dropped.
pub fn init(format: Format, stream: Stream) -> WorkerGuard {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let no_color = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
    let (sink, is_terminal): (Box<dyn Write + Send>, bool) = match stream {
        Stream::Output => (Box::new(stdout()), stdout().is_terminal()),
        Stream::Error => (Box::new(stderr()), stderr().is_terminal()),
    };
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .finish(sink);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(is_terminal && !no_color)
        .with_target(false)
        .with_writer(writer);
    match format {
        Format::Text => builder.init(),
        Format::Json => builder.json().flatten_event(true).init(),
    }
    guard
}
