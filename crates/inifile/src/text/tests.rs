use super::parse;

#[test]
fn sections_and_keys_know_their_lines() {
    let text = b"# note\n[vm]\nname = a\n\n[vm]\nname = b\nname = c\n";
    let sections = parse("x.ini", text).unwrap();
    let lines: Vec<usize> = sections.iter().map(|s| s.line).collect();
    assert_eq!(lines, [2, 5]);
    let keys: Vec<usize> = sections[1].entries.iter().map(|e| e.line).collect();
    assert_eq!(keys, [6, 7]);
}

#[test]
fn text_that_is_not_utf8_is_named_by_offset() {
    let faults = parse("x.ini", b"[vm]\nname = \xff\n").unwrap_err();
    assert_eq!(
        faults.to_string(),
        "x.ini:2: byte 12 is not UTF-8; save the file as UTF-8"
    );
}

#[test]
fn a_key_before_any_section_is_refused() {
    let faults = parse("x.ini", b"name = a\n[vm]\n").unwrap_err();
    assert_eq!(faults.0[0].line, 1);
}
