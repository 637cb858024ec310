//! Checks that the committed man page and completions match the command-line options.
//!
//! Run with `UPDATE_EXTRA=1` to regenerate them.

use std::path::Path;
use std::process::Command;

use bpaf::doc::Section;
use wigeonctl::cli::options;

/// The environment variable that makes the tests regenerate the files.
const UPDATE: &str = "UPDATE_EXTRA";

/// A shell and its completion file.
struct Case {
    shell: &'static str,
    file: &'static str,
}

const CASES: [Case; 3] = [
    Case {
        shell: "bash",
        file: "completions/wigeonctl.bash",
    },
    Case {
        shell: "zsh",
        file: "completions/_wigeonctl",
    },
    Case {
        shell: "fish",
        file: "completions/wigeonctl.fish",
    },
];

fn check(file: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../extra")
        .join(file);
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(&path, text).expect("the file is written");
    }
    let committed = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(
        committed, text,
        "extra/{file} is stale; run with {UPDATE}=1 to regenerate it"
    );
}

#[test]
fn the_man_page_is_current() {
    let title = Some("wigeongate");
    let page = options().render_manpage("wigeonctl", Section::General, None, title, title);
    check("man/wigeonctl.1", &page);
}

#[test]
fn completions_are_current() {
    for case in &CASES {
        let output = Command::new(env!("CARGO_BIN_EXE_wigeonctl"))
            .arg(format!("--bpaf-complete-style-{}", case.shell))
            .output()
            .expect("wigeonctl runs");
        let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
        assert!(text.contains("wigeonctl"), "{}: {text:?}", case.shell);
        check(case.file, &text);
    }
}
