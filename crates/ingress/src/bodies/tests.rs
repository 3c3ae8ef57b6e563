use super::*;

/// Guards against large bodies that keep small requests out, and against shares that stay held.
#[test]
fn large_bodies_leave_the_small_budget_free() {
    let budgets = BodyBudgets::new(400_000);
    let mut large = budgets.buffer();
    assert!(large.try_grow(20_000));
    assert_eq!(budgets.small().held(), 32_768);
    assert!(large.try_grow(150_000));
    assert_eq!(
        (budgets.small().held(), budgets.large().held()),
        (0, 300_000)
    );
    let mut refused = budgets.buffer();
    assert!(!refused.try_grow(33_000) && !refused.try_grow_response(33_000));
    assert!(refused.try_grow(1_000));
    drop((large, refused));
    assert_eq!((budgets.small().held(), budgets.large().held()), (0, 0));
    assert_eq!(budgets.large().refused(), 2);
}

/// Guards against a response that fails after its request has run, and against new requests while
/// responses exceed the budget.
#[test]
fn small_responses_fit_and_then_keep_new_requests_out() {
    let budgets = BodyBudgets::new(400_000);
    let responses: Vec<_> = (0..4)
        .map(|_| {
            let mut share = budgets.buffer();
            assert!(share.try_grow_response(30_000));
            share.attach(Bytes::from_static(b"x"))
        })
        .collect();
    assert_eq!(budgets.small().held(), 4 * 32_768);
    assert!(!budgets.buffer().try_grow(1));
    drop(responses);
    assert!(budgets.buffer().try_grow(1));
}
