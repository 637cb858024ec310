//! Formatting and printing of results.

use std::io::{IsTerminal, Write, stdout};

use serde::Serialize;

use crate::cli::Output;

/// The escape sequence for bold text.
const BOLD: &str = "\x1b[1m";

/// The escape sequence for red text.
const RED: &str = "\x1b[31m";

/// The escape sequence for green text.
const GREEN: &str = "\x1b[32m";

/// The escape sequence that resets all styles.
const RESET: &str = "\x1b[0m";

/// A table with a header row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the names of its columns.
    pub fn new<const N: usize>(head: [&str; N]) -> Self {
        let head = head.map(str::to_owned).to_vec();
        Self { rows: vec![head] }
    }

    /// Appends a row.
    pub fn add<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.into());
    }

    /// Formats the rows, header first, with aligned columns.
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

/// Prints results to standard output.
#[derive(Debug, Clone, Copy)]
pub struct Printer {
    output: Output,
    styled: bool,
}

impl Printer {
    /// Creates a printer; it uses styles only on a terminal and if `NO_COLOR` is unset or empty.
    pub fn new(output: Output) -> Self {
        let no_color = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
        Self {
            output,
            styled: stdout().is_terminal() && !no_color,
        }
    }

    /// Prints a table, or with JSON output the document that it was made from.
    pub fn print(self, document: &impl Serialize, table: impl FnOnce() -> Table) {
        if self.output == Output::Json {
            return print_json(document);
        }
        for (index, line) in table().lines().into_iter().enumerate() {
            let style = if index == 0 { BOLD } else { "" };
            print_line(&self.style(style, &line));
        }
    }

    /// Prints a text, or with JSON output the document that it describes.
    pub fn print_text(self, document: &impl Serialize, text: &str) {
        match self.output {
            Output::Json => print_json(document),
            Output::Table => print_line(text),
        }
    }

    /// Prints lines of differences, or with JSON output the document that they were made from.
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

    /// Returns whether the output format is JSON.
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
        Err(error) => eprintln!("wigeonctl: formatting the result as JSON: {error}"),
    }
}

/// Prints a text and a line break; ignores errors, so that a closed pipe does not end the command.
pub fn print_line(text: &str) {
    let _ = writeln!(stdout(), "{text}");
}
