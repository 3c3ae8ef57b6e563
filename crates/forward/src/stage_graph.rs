//! How far the stages of one request are.

use std::sync::Arc;

use declaration::RouteStage;

/// The stages of one request with the results, of type `R`, of those that are done.
#[derive(Debug)]
pub(crate) struct StageGraph<'a, R> {
    stages: &'a [RouteStage],
    states: Vec<StageState<R>>,
}

/// How far one stage is.
#[derive(Debug)]
enum StageState<R> {
    Waiting,
    Running,
    /// Its results, until every stage that needs them has started; none where it had no items.
    Done(Option<Arc<R>>),
}

impl<R> StageState<R> {
    fn is_done(&self) -> bool {
        matches!(self, Self::Done(_))
    }
}

impl<'a, R> StageGraph<'a, R> {
    /// Nothing is done yet.
    pub(crate) fn new(stages: &'a [RouteStage]) -> Self {
        Self {
            stages,
            states: stages.iter().map(|_| StageState::Waiting).collect(),
        }
    }

    /// A stage that can begin now, with the results that it needs; it counts as running from here on.
    pub(crate) fn start_next(&mut self) -> Option<(usize, Vec<Arc<R>>)> {
        let number = (0..self.stages.len()).find(|n| self.is_ready(*n))?;
        self.states[number] = StageState::Running;
        let after = &self.stages[number].after;
        let inputs = after.iter().filter_map(|n| match &self.states[*n] {
            StageState::Done(results) => results.clone(),
            StageState::Waiting | StageState::Running => None,
        });
        let inputs = inputs.collect();
        for n in after {
            self.release_results(*n);
        }
        Some((number, inputs))
    }

    fn is_ready(&self, number: usize) -> bool {
        let mut after = self.stages[number].after.iter();
        matches!(self.states[number], StageState::Waiting)
            && after.all(|n| self.states[*n].is_done())
    }

    /// Forgets the results of `number` if every stage that needs them holds them.
    fn release_results(&mut self, number: usize) {
        let mut followers = (0..self.stages.len()).filter(|f| self.follows(*f, number));
        let is_released = followers.all(|f| !matches!(self.states[f], StageState::Waiting));
        if let StageState::Done(results) = &mut self.states[number]
            && is_released
        {
            *results = None;
        }
    }

    fn follows(&self, follower: usize, number: usize) -> bool {
        self.stages[follower].after.contains(&number)
    }

    /// Takes the results of a stage.
    pub(crate) fn finish(&mut self, number: usize, results: Option<Arc<R>>) {
        self.states[number] = StageState::Done(results);
    }

    /// The inputs of `number` are gone: it and all stages before it are to be done once more.
    pub(crate) fn restart(&mut self, number: usize) {
        self.states[number] = StageState::Waiting;
        for before in self.stages[number].after.clone() {
            if self.states[before].is_done() {
                self.restart(before);
            }
        }
    }

    /// The results of the stages that no other one follows.
    pub(crate) fn into_results(self) -> Vec<Arc<R>> {
        let count = self.stages.len();
        let is_last = |n: usize| !(0..count).any(|f| self.follows(f, n));
        let last: Vec<bool> = (0..count).map(is_last).collect();
        let states = self.states.into_iter().zip(last);
        let results = states.filter_map(|(state, is_last)| match state {
            StageState::Done(results) if is_last => results,
            StageState::Waiting | StageState::Running | StageState::Done(_) => None,
        });
        results.collect()
    }
}

#[cfg(test)]
mod tests;
