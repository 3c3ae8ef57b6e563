use std::collections::BTreeSet;

use super::initial_turn;
use crate::{Table, TableConfig};

#[tokio::test]
async fn gates_start_with_different_neighbours() {
    const NEIGHBOURS: usize = 6;
    let names = (0..33).map(|at| format!("g{at}"));
    let tables = names.map(|name| Table::new(TableConfig::new(&name, "sousse-a")));
    let first: BTreeSet<usize> = tables.map(|t| initial_turn(&t) % NEIGHBOURS).collect();
    assert_eq!(first.len(), NEIGHBOURS);
}
