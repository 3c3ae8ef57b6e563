use tokio::time::{Duration, Instant};

use super::PrefixCache;
use crate::incoming::Prompt;

fn prompt(subject: &str, own: &str) -> Prompt {
    Prompt::new(
        "m",
        40,
        1,
        [("all", 10), (subject, 20), (own, 10)].into_iter(),
    )
}

#[test]
fn a_shared_prefix_is_cached_after_a_read() {
    let mut cache = PrefixCache::new(1_000);
    cache.record_read(&prompt("a", "1"), Instant::now());
    assert_eq!(cache.cached_tokens(&prompt("a", "2")), 30);
    assert_eq!(cache.cached_tokens(&prompt("b", "2")), 10);
}

#[test]
fn the_least_recently_used_parts_are_evicted() {
    let mut cache = PrefixCache::new(100);
    let now = Instant::now();
    for n in 0..20_u32 {
        let subject = n.to_string();
        cache.record_read(
            &prompt(&subject, &subject),
            now + Duration::from_secs(u64::from(n)),
        );
    }
    assert_eq!(cache.cached_tokens(&prompt("19", "x")), 30);
    assert_eq!(cache.cached_tokens(&prompt("0", "x")), 10);
}

// Guards against a panic, or a cache that evicts everything, after a part came with another number
// of tokens.
#[test]
fn part_with_another_number_of_tokens_is_counted_once() {
    let part = |id, tokens| Prompt::new("m", tokens, 1, [(id, tokens)].into_iter());
    let mut cache = PrefixCache::new(1_000);
    let now = Instant::now();
    cache.record_read(&part("a", 1), now);
    cache.record_read(&part("a", 5_000), now);
    cache.record_read(&part("b", 800), now + Duration::from_secs(1));
    cache.record_read(&part("c", 200), now + Duration::from_secs(2));

    assert_eq!(cache.cached_tokens(&part("a", 5_000)), 0);
    assert_eq!(cache.cached_tokens(&part("b", 800)), 800);
    assert_eq!(cache.cached_tokens(&part("c", 200)), 200);
}
