//! The modules of every crate can be read from top to bottom: no ring of imports is longer than two.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Longest ring of modules that import each other.
const MAX_RING: usize = 2;

/// Modules by name with the modules of the same crate that they import.
type Imports = BTreeMap<String, BTreeSet<String>>;

#[test]
fn no_ring_of_modules_is_longer_than_two() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let crates = fs::read_dir(root.join("crates")).unwrap();
    let crates = crates.map(|entry| entry.unwrap().path());
    let mut too_long = Vec::new();
    for folder in crates.chain([root.join("platform")]) {
        let imports = imports(&folder.join("src"));
        too_long.extend(rings(&imports).into_iter().filter(|r| r.len() > MAX_RING));
    }
    assert!(too_long.is_empty(), "{too_long:?}");
}

#[test]
fn a_ring_of_three_is_seen_and_a_path_is_none() {
    let imports = |pairs: &[(&str, &str)]| {
        let mut imports = Imports::new();
        for (from, to) in pairs {
            imports
                .entry((*from).to_owned())
                .or_default()
                .insert((*to).to_owned());
            imports.entry((*to).to_owned()).or_default();
        }
        imports
    };
    let ring = imports(&[("a", "b"), ("b", "c"), ("c", "a"), ("c", "d")]);
    assert_eq!(
        rings(&ring),
        [BTreeSet::from(["a", "b", "c"].map(str::to_owned))]
    );
    let path = imports(&[("a", "b"), ("b", "c"), ("a", "c")]);
    assert!(rings(&path).is_empty());
}

#[test]
fn imports_are_found_in_lists_and_in_paths() {
    let names = BTreeSet::from(["run", "stage", "time"].map(str::to_owned));
    let text =
        "use crate::{\n    run::{Run, time},\n    stage,\n};\nfn f() { crate::time::now() }\n";
    assert_eq!(named(text, &names), names);
    let nested = "use crate::run::{time};\n";
    assert_eq!(named(nested, &names), BTreeSet::from(["run".to_owned()]));
}

fn imports(src: &Path) -> Imports {
    let files: Vec<PathBuf> = fs::read_dir(src)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|e| e == "rs"))
        .collect();
    let name = |path: &PathBuf| path.file_stem().unwrap().to_str().unwrap().to_owned();
    let is_module = |name: &String| name != "lib" && name != "main";
    let names: BTreeSet<String> = files.iter().map(name).filter(is_module).collect();
    let files = files.iter().filter(|path| names.contains(&name(path)));
    files
        .map(|path| {
            let text = fs::read_to_string(path).unwrap();
            // Tests may import what their module may not.
            let code = text.split("\n#[cfg(test)]\nmod ").next().unwrap();
            let code = code
                .lines()
                .filter(|line| !line.trim_start().starts_with("//"));
            let code: String = code.flat_map(|line| [line, "\n"]).collect();
            (name(path), named(&code, &names))
        })
        .collect()
}

/// Modules of `names` that `code` names after `crate::`.
fn named(code: &str, names: &BTreeSet<String>) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for (at, what) in code.match_indices("crate::") {
        let rest = &code[at + what.len()..];
        match rest.strip_prefix('{') {
            Some(list) => found.extend(first_level(list)),
            None => found.extend([word(rest)]),
        }
    }
    found.retain(|name| names.contains(name));
    found
}

/// The first word of each item of a list in braces.
fn first_level(list: &str) -> Vec<String> {
    let mut depth = 0;
    let mut items = vec![String::new()];
    for c in list.chars() {
        match c {
            '{' => depth += 1,
            '}' if depth == 0 => break,
            '}' => depth -= 1,
            ',' if depth == 0 => items.push(String::new()),
            c if depth == 0 => items.last_mut().unwrap().push(c),
            _ => {}
        }
    }
    items.iter().map(|item| word(item.trim_start())).collect()
}

fn word(text: &str) -> String {
    text.chars()
        .take_while(|c| c.is_alphanumeric() || *c == '_')
        .collect()
}

/// Groups of modules that reach each other.
fn rings(imports: &Imports) -> Vec<BTreeSet<String>> {
    let reached: BTreeMap<&String, BTreeSet<String>> = imports
        .keys()
        .map(|name| (name, reach(imports, name)))
        .collect();
    let mut rings: Vec<BTreeSet<String>> = Vec::new();
    for name in imports.keys().filter(|name| reached[name].contains(*name)) {
        let ring: BTreeSet<String> = reached[name]
            .iter()
            .filter(|other| reached[other].contains(name))
            .cloned()
            .collect();
        if !rings.contains(&ring) {
            rings.push(ring);
        }
    }
    rings
}

/// Everything that `from` imports, directly or through others.
fn reach(imports: &Imports, from: &str) -> BTreeSet<String> {
    let mut reached = BTreeSet::new();
    let mut open = vec![from.to_owned()];
    while let Some(name) = open.pop() {
        for next in imports.get(&name).into_iter().flatten() {
            if reached.insert(next.clone()) {
                open.push(next.clone());
            }
        }
    }
    reached
}
