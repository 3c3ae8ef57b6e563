use std::collections::BTreeMap;

use super::{Ended, ItemFailure};
use crate::messages::StageFailure;

#[test]
fn items_without_results_are_counted_by_cause() {
    let answered = Ended::Answered(vec![
        Ok("h".to_owned()),
        Err(ItemFailure::NoRoom),
        Err(ItemFailure::NoRoom),
        Err(ItemFailure::Ended(StageFailure::InputGone)),
    ]);
    let causes = BTreeMap::from([("input_gone", 1), ("room", 2)]);
    assert_eq!(answered.unmade(4), causes);
    assert_eq!(Ended::NotRun.unmade(4), BTreeMap::from([("full", 4)]));
}
