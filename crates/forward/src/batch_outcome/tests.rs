use std::collections::BTreeMap;

use super::{BatchOutcome, ItemFailure};
use crate::messages::StageFailure;

#[test]
fn items_without_results_are_counted_by_cause() {
    let answered = BatchOutcome::Answered(vec![
        Ok("h".to_owned()),
        Err(ItemFailure::NoCapacity),
        Err(ItemFailure::NoCapacity),
        Err(ItemFailure::Stage(StageFailure::InputGone)),
    ]);
    let causes = BTreeMap::from([("input_gone", 1), ("room", 2)]);
    assert_eq!(answered.items_without_result(4), causes);
    assert_eq!(
        BatchOutcome::NotRun.items_without_result(4),
        BTreeMap::from([("full", 4)])
    );
}
