//! The manual page holds the help text as it is; `UPDATE_EXPECT=1` writes it anew.

use std::{fmt::Write as _, process::Command};

use expect_test::expect_file;

fn help() -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_jujubeferry"));
    let output = program.arg("--help").output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Text that is shown as it stands.
fn verbatim(page: &mut String, title: &str, text: &str) {
    let escaped = text.replace('\\', "\\e").replace('-', "\\-");
    // A leading dot or apostrophe would be a request.
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
    verbatim(&mut page, "DESCRIPTION", &help());
    expect_file!["../man/jujubeferry.1"].assert_eq(&page);
}
