//! Implementation of the commands.

mod change;
mod configuration;
mod jobs;
mod keys;
mod status;

use wigeongate_config::change::Change;
use wigeongate_config::load::check_files;

use crate::cli::{ChangeOptions, Command, KeyCommand, Options, ZoneCommand};
use crate::client::Client;
use crate::error::CtlError;
use crate::output::Printer;
use crate::settings::Settings;

/// The client and the printer that every command uses.
struct Context {
    client: Client,
    printer: Printer,
}

/// Runs the command of the options. Returns an error if it did not have the requested effect.
pub async fn run(options: Options) -> Result<(), CtlError> {
    let settings = Settings::resolve(&options.access)?;
    let printer = Printer::new(settings.output);
    let command = match options.command {
        Command::Validate { files } => return validate(&files, printer),
        Command::Key(KeyCommand::Draw) => {
            keys::generate(printer);
            return Ok(());
        }
        command => command,
    };
    let client = Client::new(&settings)?;
    let context = Context { client, printer };
    run_on_gates(&context, command).await
}

async fn run_on_gates(context: &Context, command: Command) -> Result<(), CtlError> {
    match command {
        Command::Apply {
            expected,
            wait,
            files,
        } => configuration::apply(context, &files, ChangeOptions { expected, wait }).await,
        Command::Diff { files } => configuration::diff(context, &files).await,
        Command::Get { what } => configuration::get(context, what).await,
        Command::Validate { files } => validate(&files, context.printer),
        Command::Key(command) => keys::run(context, command).await,
        Command::Zone(ZoneCommand::Out { how, zone }) => {
            let zone = zone.into();
            change::submit(
                context,
                "taking the zone out of service",
                Change::ZoneOut { zone },
                how,
            )
            .await
        }
        Command::Zone(ZoneCommand::In { how, zone }) => {
            let zone = zone.into();
            change::submit(
                context,
                "returning the zone to service",
                Change::ZoneIn { zone },
                how,
            )
            .await
        }
        Command::Pause { how } => change::submit(context, "pausing", Change::Pause, how).await,
        Command::Resume { how } => change::submit(context, "resuming", Change::Resume, how).await,
        Command::Held => status::held(context).await,
        Command::Submit { wait, file } => jobs::submit(context, &file, wait).await,
        Command::Jobs => jobs::list(context).await,
        Command::Status { job: Some(job) } => jobs::status(context, job).await,
        Command::Status { job: None } => status::gates(context).await,
        Command::Cancel { job } => jobs::cancel(context, job).await,
        Command::Wait { timeout, job } => jobs::wait(context, job, timeout).await,
        Command::Top => status::teams(context).await,
    }
}

fn validate(files: &[std::path::PathBuf], printer: Printer) -> Result<(), CtlError> {
    let documents = check_files(files)?;
    let lines: Vec<String> = files
        .iter()
        .zip(&documents)
        .map(|(file, document)| format!("{}: right ({document})", file.display()))
        .collect();
    printer.print_text(&lines, &lines.join("\n"));
    Ok(())
}
