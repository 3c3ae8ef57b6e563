//! The sample declarations are valid and canonical, but for comments' places.

use std::path::Path;

use declaration::{Declaration, Document};

#[test]
fn sample_declarations_are_valid_and_canonical() {
    for name in ["escort-desk", "watch-trading"] {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let path = root.join(name).join("declaration.ini");
        let text = std::fs::read_to_string(path).unwrap();
        let declared = Declaration::read(name, text.as_bytes()).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(declared.services.len(), 5);
        assert_eq!(declared.workspaces.len(), 5);
        let written = Document::read(name, text.as_bytes()).unwrap().write();
        let without_blank = |t: &str| {
            t.lines()
                .filter(|l| !l.is_empty())
                .collect::<Vec<_>>()
                .join("\n")
        };
        assert_eq!(without_blank(&written), without_blank(&text));
    }
}
