//! Checks that the manual page contains the current help text; `UPDATE_EXPECT=1` regenerates it.

use std::{fmt::Write as _, process::Command};

use expect_test::expect_file;

fn help_text() -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_jujubeferry"));
    let output = program.arg("--help").output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Appends a section whose text troff prints unfilled and without interpreting it.
fn push_verbatim_section(page: &mut String, title: &str, text: &str) {
    let escaped = text.replace('\\', "\\e").replace('-', "\\-");
    // A leading dot or apostrophe would start a troff request.
    let lines = escaped
        .lines()
        .map(|line| match line.starts_with(['.', '\'']) {
            true => format!("\\&{line}"),
            false => line.to_owned(),
        });
    let lines: Vec<String> = lines.collect();
    writeln!(page, ".SH {title}\n.nf\n{}\n.fi", lines.join("\n")).unwrap();
}

#[test]
fn the_manual_page_is_up_to_date() {
    let mut page = String::from(".TH JUJUBEFERRY 1\n.SH NAME\njujubeferry \\- ");
    page.push_str("check, apply and inspect the declaration of a serving system\n");
    push_verbatim_section(&mut page, "DESCRIPTION", &help_text());
    expect_file!["../man/jujubeferry.1"].assert_eq(&page);
}
