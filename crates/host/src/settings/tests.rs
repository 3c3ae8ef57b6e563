use std::path::Path;

use super::Reader;

fn reader(text: &str) -> Reader {
    Reader::from_bytes("x.ini", Path::new(""), text.as_bytes()).unwrap()
}

#[test]
fn finish_lists_every_fault_with_its_line() {
    let mut r = reader("[vm]\nname = a\nsize = 3\n[listen]\nhttp = here\n[gatez]\n");
    r.vm();
    r.listen("http");
    let faults = r.finish().unwrap_err();
    let lines: Vec<usize> = faults.0.iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [1, 3, 5, 6]);
}

#[test]
fn accepts_unused_shared_sections() {
    let mut r = reader("[vm]\nname = a\navailability_zone = z\n[data]\nfolder = d\n");
    r.vm();
    assert!(r.finish().is_ok());
}

#[test]
fn rejects_unknown_keys_in_unused_shared_sections() {
    let r = reader("[listen]\nlink = 127.0.0.1:0\nlnk = 127.0.0.1:0\n");
    let faults = r.finish().unwrap_err();
    assert_eq!(faults.0.len(), 1);
    assert_eq!(faults.0[0].key, "lnk");
}
