//! Structured logging that never delays a request.

use std::io::{IsTerminal, Write, stderr, stdout};

use derive_more::{Display, FromStr};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The filter used if `RUST_LOG` is unset or invalid.
const DEFAULT_FILTER: &str = "info";

/// How many lines may wait to be written; further lines are dropped, so none delays a request.
const QUEUE_LINES: usize = 8_192;

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr)]
pub enum Format {
    /// One line of plain text for each event.
    #[default]
    #[display("text")]
    Text,
    /// One JSON object for each event.
    #[display("json")]
    Json,
}

/// The stream that log lines are written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Standard output, used by a daemon.
    Output,
    /// Standard error, used if standard output carries the command's result.
    Error,
}

/// Installs the global logger; the environment variable `RUST_LOG` sets the filter.
///
/// Dropping the returned guard writes the lines that are still queued. Panics if a global logger
/// is already installed.
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
