use std::sync::Arc;

use declaration::Declaration;

use super::{Rules, key_digest, pick_service};

fn rules() -> Arc<Rules> {
    let document = format!(
        "[service desk]\nkind = plain\nrepeatable = no\n\
         [route all]\nhost = a.example\npath_prefix = /\nrepeat = anew\nservices = desk 1\n\
         [route book]\nhost = a.example\npath_prefix = /book/\nrepeat = never\n\
         services = desk 0, desk 1\n\
         [workspace tugs]\nkeys = {}\n",
        key_digest("secret")
    );
    let declaration = Declaration::read("test", document.as_bytes()).unwrap();
    Arc::new(Rules::new(&declaration))
}

#[test]
fn the_longest_matching_prefix_wins() {
    let rules = rules();
    let found = |host: &str, path: &str| rules.match_route(host, path).map(|m| m.name);
    assert_eq!(found("A.example", "/book/1").as_deref(), Some("book"));
    assert_eq!(found("a.example", "/books").as_deref(), Some("all"));
    assert_eq!(found("b.example", "/book/1"), None);
}

#[test]
fn a_key_belongs_to_its_workspace_only() {
    let rules = rules();
    assert_eq!(rules.caller("secret").unwrap().workspace, "tugs");
    assert_eq!(rules.caller("Secret"), None);
}

#[test]
fn a_service_with_weight_zero_is_never_picked() {
    let rules = rules();
    let matched = rules.match_route("a.example", "/book/").unwrap();
    for _ in 0..50 {
        assert_eq!(pick_service(matched.route()), Some("desk"));
    }
}
