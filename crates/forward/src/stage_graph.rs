//! Progress of the stages of one request.

use std::sync::Arc;

use declaration::RouteStage;

/// The stages of one request, with results of type `R` for completed ones.
#[derive(Debug)]
pub(crate) struct StageGraph<'a, R> {
    stages: &'a [RouteStage],
    states: Vec<StageState<R>>,
}

/// Progress of one stage.
#[derive(Debug)]
enum StageState<R> {
    Waiting,
    Running,
    /// The results, kept until every stage that needs them has started; `None` if the stage had no
    /// items or the results were released.
    Done(Option<Arc<R>>),
}

impl<R> StageState<R> {
    fn is_done(&self) -> bool {
        matches!(self, Self::Done(_))
    }
}

impl<'a, R> StageGraph<'a, R> {
    /// Creates a graph in which no stage has started.
    pub(crate) fn new(stages: &'a [RouteStage]) -> Self {
        Self {
            stages,
            states: stages.iter().map(|_| StageState::Waiting).collect(),
        }
    }

    /// Starts a stage that is ready and returns it with the results that it needs.
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

    /// Drops the results of `number` if every stage that needs them has started.
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

    /// Stores the results of a stage.
    pub(crate) fn finish(&mut self, number: usize, results: Option<Arc<R>>) {
        self.states[number] = StageState::Done(results);
    }

    /// Resets `number`, whose inputs are gone, and all completed stages before it.
    pub(crate) fn restart(&mut self, number: usize) {
        self.states[number] = StageState::Waiting;
        for before in self.stages[number].after.clone() {
            if self.states[before].is_done() {
                self.restart(before);
            }
        }
    }

    /// Returns the stages that are completed.
    pub(crate) fn completed(&self) -> impl Iterator<Item = usize> {
        let states = self.states.iter().enumerate();
        states
            .filter(|(_, state)| state.is_done())
            .map(|(number, _)| number)
    }

    /// Returns the results of the stages that no other stage follows.
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
