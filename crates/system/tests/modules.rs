//! Limits import cycles between the modules of each crate to two modules, so that a crate can be read
//! from top to bottom.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Maximum number of modules in an import cycle.
const MAX_CYCLE_LEN: usize = 2;

/// For each module of a crate, the modules of the same crate that it imports.
type Imports = BTreeMap<String, BTreeSet<String>>;

#[test]
fn import_cycles_have_at_most_two_modules() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let crates = fs::read_dir(root.join("crates")).unwrap();
    let crates = crates.map(|entry| entry.unwrap().path());
    let mut too_long = Vec::new();
    for folder in crates.chain([root.join("platform")]) {
        let imports = imports(&folder.join("src"));
        too_long.extend(
            import_cycles(&imports)
                .into_iter()
                .filter(|cycle| cycle.len() > MAX_CYCLE_LEN),
        );
    }
    assert!(too_long.is_empty(), "{too_long:?}");
}

#[test]
fn detects_a_cycle_of_three_but_not_a_path() {
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
    let cycle = imports(&[("a", "b"), ("b", "c"), ("c", "a"), ("c", "d")]);
    assert_eq!(
        import_cycles(&cycle),
        [BTreeSet::from(["a", "b", "c"].map(str::to_owned))]
    );
    let path = imports(&[("a", "b"), ("b", "c"), ("a", "c")]);
    assert!(import_cycles(&path).is_empty());
}

#[test]
fn finds_imports_in_lists_and_in_paths() {
    let names = BTreeSet::from(["run", "stage", "time"].map(str::to_owned));
    let text =
        "use crate::{\n    run::{Run, time},\n    stage,\n};\nfn f() { crate::time::now() }\n";
    assert_eq!(imported_modules(text, &names), names);
    let nested = "use crate::run::{time};\n";
    assert_eq!(
        imported_modules(nested, &names),
        BTreeSet::from(["run".to_owned()])
    );
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
            // Test modules may import what the module itself may not.
            let code = text.split("\n#[cfg(test)]\nmod ").next().unwrap();
            let code = code
                .lines()
                .filter(|line| !line.trim_start().starts_with("//"));
            let code: String = code.flat_map(|line| [line, "\n"]).collect();
            (name(path), imported_modules(&code, &names))
        })
        .collect()
}

/// Returns the modules of `names` that follow `crate::` in `code`.
fn imported_modules(code: &str, names: &BTreeSet<String>) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for (start, prefix) in code.match_indices("crate::") {
        let rest = &code[start + prefix.len()..];
        match rest.strip_prefix('{') {
            Some(list) => found.extend(top_level_names(list)),
            None => found.extend([leading_identifier(rest)]),
        }
    }
    found.retain(|name| names.contains(name));
    found
}

/// Returns the first identifier of each item of a list in braces.
fn top_level_names(list: &str) -> Vec<String> {
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
    items
        .iter()
        .map(|item| leading_identifier(item.trim_start()))
        .collect()
}

fn leading_identifier(text: &str) -> String {
    text.chars()
        .take_while(|c| c.is_alphanumeric() || *c == '_')
        .collect()
}

/// Returns the import cycles: groups of modules that reach each other.
fn import_cycles(imports: &Imports) -> Vec<BTreeSet<String>> {
    let reached: BTreeMap<&String, BTreeSet<String>> = imports
        .keys()
        .map(|name| (name, reachable(imports, name)))
        .collect();
    let mut cycles: Vec<BTreeSet<String>> = Vec::new();
    for name in imports.keys().filter(|name| reached[name].contains(*name)) {
        let cycle: BTreeSet<String> = reached[name]
            .iter()
            .filter(|other| reached[other].contains(name))
            .cloned()
            .collect();
        if !cycles.contains(&cycle) {
            cycles.push(cycle);
        }
    }
    cycles
}

/// Returns the modules that `from` imports, directly or indirectly.
fn reachable(imports: &Imports, from: &str) -> BTreeSet<String> {
    let mut reached = BTreeSet::new();
    let mut pending = vec![from.to_owned()];
    while let Some(name) = pending.pop() {
        for next in imports.get(&name).into_iter().flatten() {
            if reached.insert(next.clone()) {
                pending.push(next.clone());
            }
        }
    }
    reached
}
