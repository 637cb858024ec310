//! Tests that the committed man page and shell completions match the command line.
//!
//! Run with `UPDATE_EXTRA=1` to regenerate them.

use std::path::Path;
use std::process::Command;

use bpaf::doc::Section;
use wigeongate::cli::options;

/// Environment variable that makes the tests regenerate the files.
const UPDATE: &str = "UPDATE_EXTRA";

/// The completions of one shell.
struct Case {
    shell: &'static str,
    file: &'static str,
}

const CASES: [Case; 3] = [
    Case {
        shell: "bash",
        file: "completions/wigeongate.bash",
    },
    Case {
        shell: "zsh",
        file: "completions/_wigeongate",
    },
    Case {
        shell: "fish",
        file: "completions/wigeongate.fish",
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
        "extra/{file} is outdated; run this test with {UPDATE}=1 to regenerate it"
    );
}

#[test]
fn the_man_page_is_current() {
    let title = Some("wigeongate");
    let page = options().render_manpage("wigeongate", Section::Sysadmin, None, title, title);
    check("man/wigeongate.8", &page);
}

#[test]
fn completions_are_current() {
    for case in &CASES {
        let output = Command::new(env!("CARGO_BIN_EXE_wigeongate"))
            .arg(format!("--bpaf-complete-style-{}", case.shell))
            .output()
            .expect("the daemon runs");
        let text = String::from_utf8(output.stdout).expect("the completions are text");
        assert!(text.contains("wigeongate"), "{}: {text:?}", case.shell);
        check(case.file, &text);
    }
}
