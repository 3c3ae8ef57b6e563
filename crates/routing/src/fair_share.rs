//! Shares of workspaces and kinds of requests in a full pool.
//!
//! Start-time fair queueing over flows; a flow is a workspace and a kind of request. Virtual time is the
//! number of items called so far. Each flow has a floor of half its equal share: the start tag of a flow
//! is the virtual time from which its floor allows another stage, and a stage that is called within the
//! floor moves it by twice the number of flows for each item. What floors leave is given by urgency, so
//! no capacity is unused while anything waits.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use xxhash_rust::xxh3::xxh3_64;

/// Inverse of the part of an equal share that is a flow's floor.
const SHARES_PER_FLOOR: u64 = 2;
/// Number of flows from which start tags that have passed are dropped.
const MAX_FLOWS: usize = 1_024;

/// Who is refused when a pool is full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FairShares {
    /// Stages that are due last or are less urgent.
    #[default]
    Off,
    /// Stages of workspaces and kinds of requests that have more than their floor.
    Workspaces,
}

impl FairShares {
    /// Parses the setting `[routing] fair_share`, absent for the default. The error says what to write.
    pub fn parse(text: Option<&str>) -> Result<Self, String> {
        match text {
            None | Some("off") => Ok(Self::Off),
            Some("workspaces") => Ok(Self::Workspaces),
            Some(other) => Err(format!("`{other}` is unknown; write off or workspaces")),
        }
    }
}

/// Returns the key of the flow of a workspace and a kind of request.
pub fn flow_key(workspace: Option<&str>, kind: &str) -> u64 {
    xxh3_64(format!("{}/{kind}", workspace.unwrap_or_default()).as_bytes())
}

/// The waiting items of one stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingStage {
    /// Key of its flow.
    pub flow: u64,
    /// Number of waiting items.
    pub items: u32,
    /// True if other items of the stage were called already.
    pub has_started: bool,
}

/// The shares of the flows of one pool.
#[derive(Debug, Default)]
pub struct FairShare {
    /// Virtual time: the number of items called.
    time: u64,
    /// Start tags by flow.
    tags: BTreeMap<u64, u64>,
}

impl FairShare {
    /// Records the arrival of a stage of `flow` while no other one of the flow waits. A flow saves up
    /// no share while it has nothing to call.
    pub fn activate(&mut self, flow: u64) {
        if self.tags.len() >= MAX_FLOWS {
            self.tags.retain(|_, tag| *tag > self.time);
        }
        let tag = self.tags.entry(flow).or_default();
        *tag = self.time.max(*tag);
    }

    /// Returns the indexes of `waiting` in the order in which they are called: started stages, then
    /// those within the floor of their flow, then the others. `waiting` is in the order of urgency.
    pub fn order(&self, waiting: &[WaitingStage]) -> Vec<usize> {
        let is_started = |index: &usize| waiting[*index].has_started;
        let (mut order, others): (Vec<usize>, Vec<usize>) =
            (0..waiting.len()).partition(is_started);
        let mut stages: BTreeMap<u64, VecDeque<usize>> = BTreeMap::new();
        for index in &others {
            let flow = waiting[*index].flow;
            stages.entry(flow).or_default().push_back(*index);
        }
        let flows = count_flows(waiting);
        let mut time = order.iter().fold(self.time, |time, index| {
            time + u64::from(waiting[*index].items)
        });
        let heads = stages.iter().map(|(flow, indexes)| {
            let tag = self.tag(*flow);
            Reverse((tag, indexes[0], *flow))
        });
        let mut floors: BinaryHeap<_> = heads.collect();
        let mut by_urgency = others.into_iter().peekable();
        let mut is_called = vec![false; waiting.len()];
        while order.len() < waiting.len() {
            while by_urgency.next_if(|index| is_called[*index]).is_some() {}
            let Some(first) = by_urgency.peek().copied() else {
                break;
            };
            let within_floor = floors.peek().filter(|Reverse((tag, ..))| *tag <= time);
            let within_floor = within_floor.map(|Reverse((tag, _, flow))| (*tag, *flow));
            let flow = within_floor.map_or(waiting[first].flow, |(_, flow)| flow);
            let of_flow = stages.entry(flow).or_default();
            let Some(index) = of_flow.pop_front() else {
                // Its last stage was called by urgency.
                floors.pop();
                continue;
            };
            if let Some((tag, _)) = within_floor {
                floors.pop();
                let tag = tag.saturating_add(cost(waiting[index].items, flows));
                floors.extend(of_flow.front().map(|head| Reverse((tag, *head, flow))));
            }
            is_called[index] = true;
            time += u64::from(waiting[index].items);
            order.push(index);
        }
        order
    }

    /// Records that a stage of `items` is started while stages of `flows` flows wait.
    pub fn start(&mut self, flow: u64, items: u32, flows: u64) {
        let tag = self.tag(flow);
        if tag <= self.time {
            self.tags
                .insert(flow, tag.saturating_add(cost(items, flows)));
        }
    }

    /// Records that `items` were called.
    pub fn advance(&mut self, items: u32) {
        self.time += u64::from(items);
    }

    fn tag(&self, flow: u64) -> u64 {
        self.tags.get(&flow).copied().unwrap_or(self.time)
    }
}

/// Returns the number of flows of `waiting`.
pub fn count_flows(waiting: &[WaitingStage]) -> u64 {
    let mut flows: Vec<u64> = waiting.iter().map(|stage| stage.flow).collect();
    flows.sort_unstable();
    flows.dedup();
    flows.len() as u64
}

/// Returns by how much a stage moves the start tag of its flow.
fn cost(items: u32, flows: u64) -> u64 {
    u64::from(items).saturating_mul(SHARES_PER_FLOOR * flows.max(1))
}

#[cfg(test)]
mod tests;
