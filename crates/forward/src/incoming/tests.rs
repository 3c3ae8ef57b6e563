use super::Prompt;

#[test]
fn prompts_share_the_hashes_of_equal_leading_parts() {
    let prompt = |ids: &[&'static str]| {
        let parts: Vec<(&str, u32)> = ids.iter().map(|id| (*id, 10)).collect();
        Prompt::new("m", 30, 5, parts.into_iter())
    };
    let (one, two) = (prompt(&["a", "b", "x"]), prompt(&["a", "b", "y"]));
    assert_eq!(one.shared_prefix(), two.shared_prefix());
    assert_ne!(one.parts[2], two.parts[2]);
    // The same part after a different one has different content.
    assert_ne!(
        prompt(&["c", "b", "x"]).shared_prefix(),
        one.shared_prefix()
    );
    assert_eq!(prompt(&["a"]).shared_prefix(), None);
}
