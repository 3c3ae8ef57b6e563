use super::Prompt;

#[test]
fn prompts_share_chains_as_far_as_their_parts_are_the_same() {
    let prompt = |ids: &[&'static str]| {
        let parts: Vec<(&str, u32)> = ids.iter().map(|id| (*id, 10)).collect();
        Prompt::new("m", 30, 5, parts.into_iter())
    };
    let (one, two) = (prompt(&["a", "b", "x"]), prompt(&["a", "b", "y"]));
    assert_eq!(one.shared_prefix(), two.shared_prefix());
    assert_ne!(one.parts[2], two.parts[2]);
    // The same part behind another one is another content.
    assert_ne!(
        prompt(&["c", "b", "x"]).shared_prefix(),
        one.shared_prefix()
    );
    assert_eq!(prompt(&["a"]).shared_prefix(), None);
}
