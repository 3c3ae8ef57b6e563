use super::PendingCalls;

#[test]
fn oldest_wait_is_that_of_the_oldest_call_in_a_queue() {
    let pending = PendingCalls::default();
    let first = pending.begin(10);
    let second = pending.begin(20);
    assert_eq!(pending.oldest_wait_us(50), 0, "two calls are not a queue");
    pending.begin(30);
    assert_eq!(pending.oldest_wait_us(50), 40);
    pending.begin(40);
    pending.end(first);
    pending.end(first);
    assert_eq!(pending.oldest_wait_us(50), 30);
    pending.end(second);
    assert_eq!(pending.oldest_wait_us(50), 0);
}

#[test]
fn calls_overtaken_by_an_answered_call_are_ignored() {
    let pending = PendingCalls::default();
    pending.begin(10);
    let answered = pending.begin(20);
    let later: Vec<_> = [30, 31, 32].map(|at| pending.begin(at)).into();
    assert_eq!(pending.oldest_wait_us(50), 40);
    assert!(!pending.has_answered_since(later[0]));
    pending.record_first_byte(answered, 45);
    assert_eq!(pending.oldest_wait_us(50), 20);
    assert!(pending.has_answered_since(later[0]));
    assert!(!pending.has_answered_since(pending.begin(46)));
}
