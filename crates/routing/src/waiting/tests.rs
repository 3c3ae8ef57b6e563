use super::Waiting;

#[test]
fn the_oldest_call_of_a_queue_tells_how_long_it_is() {
    let waiting = Waiting::default();
    let first = waiting.begin(10);
    let second = waiting.begin(20);
    assert_eq!(waiting.oldest_wait_us(50), 0, "two calls are no queue");
    waiting.begin(30);
    assert_eq!(waiting.oldest_wait_us(50), 40);
    waiting.begin(40);
    waiting.end(first);
    waiting.end(first);
    assert_eq!(waiting.oldest_wait_us(50), 30);
    waiting.end(second);
    assert_eq!(waiting.oldest_wait_us(50), 0);
}

#[test]
fn a_call_that_others_overtook_does_not_count() {
    let waiting = Waiting::default();
    waiting.begin(10);
    let answered = waiting.begin(20);
    let later: Vec<_> = [30, 31, 32].map(|at| waiting.begin(at)).into();
    assert_eq!(waiting.oldest_wait_us(50), 40);
    assert!(!waiting.has_answered_since(later[0]));
    waiting.record_first_byte(answered, 45);
    assert_eq!(waiting.oldest_wait_us(50), 20);
    assert!(waiting.has_answered_since(later[0]));
    assert!(!waiting.has_answered_since(waiting.begin(46)));
}
