use super::parse;

#[test]
fn sections_and_entries_have_line_numbers() {
    let text = b"# note\n[vm]\nname = a\n\n[vm]\nname = b\nname = c\n";
    let sections = parse("x.ini", text).unwrap();
    let lines: Vec<usize> = sections.iter().map(|s| s.line).collect();
    assert_eq!(lines, [2, 5]);
    let keys: Vec<usize> = sections[1].entries.iter().map(|e| e.line).collect();
    assert_eq!(keys, [6, 7]);
}

#[test]
fn invalid_utf8_is_reported_with_its_byte_offset() {
    let faults = parse("x.ini", b"[vm]\nname = \xff\n").unwrap_err();
    assert_eq!(
        faults.to_string(),
        "x.ini:2: byte 12 is not UTF-8; save the file as UTF-8"
    );
}

#[test]
fn key_before_first_section_is_rejected() {
    let faults = parse("x.ini", b"name = a\n[vm]\n").unwrap_err();
    assert_eq!(faults.0[0].line, 1);
}
