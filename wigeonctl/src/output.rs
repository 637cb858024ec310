//! Writing results.

use std::io::{IsTerminal, Write, stdout};

use serde::Serialize;

use crate::cli::Output;

/// Starts bold text on a terminal.
const BOLD: &str = "\x1b[1m";

/// Starts red text on a terminal.
const RED: &str = "\x1b[31m";

/// Starts green text on a terminal.
const GREEN: &str = "\x1b[32m";

/// Ends a style on a terminal.
const RESET: &str = "\x1b[0m";

/// A table with a head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts with the names of the columns.
    pub fn new<const N: usize>(head: [&str; N]) -> Self {
        let head = head.map(str::to_owned).to_vec();
        Self { rows: vec![head] }
    }

    /// Adds a row.
    pub fn add<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.into());
    }

    /// Returns the lines, with the columns aligned.
    pub fn lines(&self) -> Vec<String> {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let line = |row: &Vec<String>| {
            let cells = row.iter().zip(&widths);
            let padded: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            padded.join("  ").trim_end().to_owned()
        };
        self.rows.iter().map(line).collect()
    }
}

/// Where and how results are written.
#[derive(Debug, Clone, Copy)]
pub struct Printer {
    output: Output,
    styled: bool,
}

impl Printer {
    /// Writes to standard output; styles only on a terminal, and never with `NO_COLOR` set.
    pub fn new(output: Output) -> Self {
        let no_color = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
        Self {
            output,
            styled: stdout().is_terminal() && !no_color,
        }
    }

    /// Prints a table, or the document it was made from.
    pub fn print(self, document: &impl Serialize, table: impl FnOnce() -> Table) {
        if self.output == Output::Json {
            return print_json(document);
        }
        for (index, line) in table().lines().into_iter().enumerate() {
            let style = if index == 0 { BOLD } else { "" };
            print_line(&self.style(style, &line));
        }
    }

    /// Prints a sentence, or the document it speaks of.
    pub fn print_text(self, document: &impl Serialize, sentence: &str) {
        match self.output {
            Output::Json => print_json(document),
            Output::Table => print_line(sentence),
        }
    }

    /// Prints lines of differences, or the document they were made from.
    pub fn print_differences(self, document: &impl Serialize, lines: &str) {
        if self.output == Output::Json {
            return print_json(document);
        }
        for line in lines.lines() {
            let style = match line.chars().next() {
                Some('+') => GREEN,
                Some('-') => RED,
                _ => "",
            };
            print_line(&self.style(style, line));
        }
    }

    /// Returns whether results are written as JSON.
    pub fn is_json(self) -> bool {
        self.output == Output::Json
    }

    fn style(self, style: &str, text: &str) -> String {
        if self.styled && !style.is_empty() {
            format!("{style}{text}{RESET}")
        } else {
            text.to_owned()
        }
    }
}

fn print_json(document: &impl Serialize) {
    match serde_json::to_string_pretty(document) {
        Ok(text) => print_line(&text),
        Err(error) => eprintln!("wigeonctl: the result cannot be written: {error}"),
    }
}

/// Writes lines; a reader that has gone away does not end the command.
pub fn print_line(text: &str) {
    let _ = writeln!(stdout(), "{text}");
}
