use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

use super::{PrefixCache, PrefixPart};

/// The hash of a part and all parts before it.
fn hash(parts: &[&str]) -> u64 {
    xxh3_64(parts.join("/").as_bytes())
}

fn prompt(subject: &str, own: &str) -> [PrefixPart; 3] {
    [
        (hash(&["all"]), 10),
        (hash(&["all", subject]), 20),
        (hash(&["all", subject, own]), 10),
    ]
}

#[test]
fn a_shared_prefix_is_cached_after_a_read() {
    let mut cache = PrefixCache::new(1_000);
    cache.record_read(prompt("a", "1"), Instant::now());
    assert_eq!(cache.cached_tokens(prompt("a", "2")), 30);
    assert_eq!(cache.cached_tokens(prompt("b", "2")), 10);
}

#[test]
fn the_least_recently_used_parts_are_evicted() {
    let mut cache = PrefixCache::new(100);
    let now = Instant::now();
    for n in 0..20_u32 {
        let subject = n.to_string();
        cache.record_read(
            prompt(&subject, &subject),
            now + Duration::from_secs(u64::from(n)),
        );
    }
    assert_eq!(cache.cached_tokens(prompt("19", "x")), 30);
    assert_eq!(cache.cached_tokens(prompt("0", "x")), 10);
}

// Guards against a panic, or a cache that evicts everything, after a part came with another number
// of tokens.
#[test]
fn part_with_another_number_of_tokens_is_counted_once() {
    let part = |id, tokens| [(hash(&[id]), tokens)];
    let mut cache = PrefixCache::new(1_000);
    let now = Instant::now();
    cache.record_read(part("a", 1), now);
    cache.record_read(part("a", 5_000), now);
    cache.record_read(part("b", 800), now + Duration::from_secs(1));
    cache.record_read(part("c", 200), now + Duration::from_secs(2));

    assert_eq!(cache.cached_tokens(part("a", 5_000)), 0);
    assert_eq!(cache.cached_tokens(part("b", 800)), 800);
    assert_eq!(cache.cached_tokens(part("c", 200)), 200);
}

/// Guards against memory that is counted once for each call, or that stays in use after a call's end.
#[test]
fn parts_of_running_calls_are_counted_once_and_not_evicted() {
    let mut cache = PrefixCache::new(100);
    let now = Instant::now();
    cache.pin(prompt("a", "1"), now);
    cache.pin(prompt("a", "2"), now);
    assert_eq!(cache.pinned_tokens(), 50);
    cache.record_read([(hash(&["other"]), 200)], now);
    let found = cache.lookup(prompt("a", "3"));
    assert_eq!((found.cached, found.pinned), (30, 30));
    cache.unpin(prompt("a", "1"));
    assert_eq!(cache.pinned_tokens(), 40);
    cache.unpin(prompt("a", "2"));
    cache.unpin(prompt("a", "2"));
    assert_eq!(cache.pinned_tokens(), 0);
    assert_eq!(cache.lookup(prompt("a", "3")).pinned, 0);
}
