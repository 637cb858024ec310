//! Commands for the keys of teams.

use std::fmt::Write;

use serde::Serialize;
use wigeongate_config::change::Change;
use wigeongate_config::inventory::Key;
use wigeongate_config::key::KeyHash;

use super::{Context, change, configuration};
use crate::cli::{ChangeOptions, KeyCommand};
use crate::error::CtlError;
use crate::output::{Printer, Table};

/// The number of random bytes in a key.
const KEY_BYTES: usize = 32;

/// A generated key; it is printed once and not stored.
#[derive(Serialize)]
struct GeneratedKey {
    key: String,
    hash: KeyHash,
}

impl GeneratedKey {
    fn new() -> Self {
        let bytes: [u8; KEY_BYTES] = rand::random();
        let mut key = "wg-".to_owned();
        for byte in bytes {
            let _ = write!(key, "{byte:02x}");
        }
        let hash = KeyHash::of(&key);
        Self { key, hash }
    }
}

/// Runs a key command.
pub async fn run(context: &Context, command: KeyCommand) -> Result<(), CtlError> {
    match command {
        KeyCommand::Grant { how, name, team } => grant(context, name, &team, how).await,
        KeyCommand::Withdraw { how, name } => {
            let change = Change::WithdrawKey { name };
            change::submit(context, "withdrawing the key", change, how).await
        }
        KeyCommand::List => list(context).await,
        KeyCommand::Draw => {
            generate(context.printer);
            Ok(())
        }
    }
}

/// Generates a key and prints it with its hash.
pub fn generate(printer: Printer) {
    let generated = GeneratedKey::new();
    printer.print_text(
        &generated,
        &format!("key:  {}\nhash: {}", generated.key, generated.hash),
    );
}

async fn grant(
    context: &Context,
    name: String,
    team: &str,
    how: ChangeOptions,
) -> Result<(), CtlError> {
    let generated = GeneratedKey::new();
    let key = Key {
        name,
        team: team.into(),
        hash: generated.hash.clone(),
    };
    let change = Change::GrantKey { key };
    let expected = how.expected.map(Into::into);
    let changed = change::send(context, "granting the key", &change, expected).await?;
    context.printer.print_text(&generated, &generated.key);
    if context.printer.is_json() {
        return Ok(());
    }
    change::report(context, &changed, how.wait).await
}

async fn list(context: &Context) -> Result<(), CtlError> {
    let keys = configuration::current(context).await?.inventory.keys;
    context.printer.print(&keys, || {
        let mut table = Table::new(["KEY", "TEAM", "HASH"]);
        for key in &keys {
            let row = [key.name.clone(), key.team.to_string(), key.hash.to_string()];
            table.add(row);
        }
        table
    });
    Ok(())
}
