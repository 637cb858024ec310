//! Configuration written by operators and installers: inventory, rules and settings.

pub mod change;
pub mod check;
pub mod configuration;
pub mod entry;
mod form;
pub mod inventory;
pub mod key;
pub mod load;
pub mod policy;
pub mod problem;
pub mod rules;
pub mod settings;
mod tree;
