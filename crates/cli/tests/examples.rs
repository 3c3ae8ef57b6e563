//! Checks that the sample declarations are valid and, apart from blank lines, in canonical form.

use std::path::Path;

use declaration::{Declaration, Document};

#[test]
fn sample_declarations_are_valid_and_canonical() {
    for name in ["escort-desk", "watch-trading"] {
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let path = examples.join(name).join("declaration.ini");
        let text = std::fs::read_to_string(path).unwrap();
        let declaration =
            Declaration::read(name, text.as_bytes()).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(declaration.services.len(), 5);
        assert_eq!(declaration.workspaces.len(), 5);
        let canonical = Document::read(name, text.as_bytes()).unwrap().write();
        let without_blank_lines = |t: &str| {
            t.lines()
                .filter(|l| !l.is_empty())
                .collect::<Vec<_>>()
                .join("\n")
        };
        assert_eq!(without_blank_lines(&canonical), without_blank_lines(&text));
    }
}
