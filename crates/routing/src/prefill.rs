//! Chooses an engine where long prompts delay the short ones beside them.
//!
//! The cost of an engine for a request is the request's own expected time to the first event, plus
//! a bounded part of the delay that reading its prompt causes to the calls there. See
//! `docs/design/long-prompts.md`.

/// An engine that may take a request, as known to the gate that chooses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillCandidate {
    /// Expected time to the request's own first event, including everything queued before it.
    pub own_ms: f64,
    /// Tokens of the request that the engine has to read.
    pub unread_tokens: f64,
    /// Tokens of other calls that the engine still has to read.
    pub queued_tokens: f64,
    /// Calls that wait or run there.
    pub calls: f64,
    /// Time to read one token.
    pub ms_per_token: f64,
}

/// Parameters of the choice. The defaults are those compared in `examples/long_prompts.rs`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillConfig {
    /// Part of the reading time that counts as delay for each call at the engine.
    pub delay_share: f64,
    /// Maximum delay that counts, so that a long prompt is never kept from all busy engines.
    pub max_delay_ms: f64,
    /// The bound on unread tokens, as a multiple of their mean over the engines.
    pub bound_factor: f64,
    /// Engines within this time of the best one are chosen from at random.
    pub near_ms: f64,
    /// Engines within this share of the best cost are chosen from at random.
    pub near_share: f64,
}

impl Default for PrefillConfig {
    fn default() -> Self {
        Self {
            delay_share: 0.1,
            max_delay_ms: 400.0,
            bound_factor: 2.0,
            near_ms: 4.0,
            near_share: 0.05,
        }
    }
}

impl PrefillConfig {
    /// Returns the index of the engine for a request; `draw` is a random number in `0.0..1.0`.
    /// `None` only if there are no candidates.
    pub fn choose(&self, candidates: &[PrefillCandidate], draw: f64) -> Option<usize> {
        let bound = self.bound(candidates);
        let costs: Vec<Option<f64>> = candidates
            .iter()
            .map(|c| Self::is_within(c, bound).then(|| self.cost(c)))
            .collect();
        let best = costs.iter().flatten().copied().min_by(f64::total_cmp)?;
        let limit = best + self.near_ms.max(best * self.near_share);
        let is_near = |cost: &Option<f64>| cost.is_some_and(|cost| cost <= limit);
        let near: Vec<usize> = (0..costs.len()).filter(|i| is_near(&costs[*i])).collect();
        let drawn = (draw.clamp(0.0, 1.0) * near.len() as f64) as usize;
        near.get(drawn).or(near.last()).copied()
    }

    /// Returns the cost of an engine in milliseconds.
    pub fn cost(&self, candidate: &PrefillCandidate) -> f64 {
        let reading_ms = candidate.unread_tokens * candidate.ms_per_token;
        let delay_ms = reading_ms * candidate.calls * self.delay_share;
        candidate.own_ms + delay_ms.min(self.max_delay_ms)
    }

    /// Returns the bound on unread tokens at one engine beside other calls. It moves with the load:
    /// an engine at the mean takes any prompt, so that at least one engine is within the bound.
    fn bound(&self, candidates: &[PrefillCandidate]) -> f64 {
        let queued: f64 = candidates.iter().map(|c| c.queued_tokens).sum();
        let mean = queued / candidates.len().max(1) as f64;
        let longest = candidates.iter().map(|c| c.unread_tokens);
        self.bound_factor.max(1.0) * mean + longest.fold(0.0, f64::max)
    }

    fn is_within(candidate: &PrefillCandidate, bound: f64) -> bool {
        let is_alone = candidate.calls < 1.0;
        is_alone || candidate.queued_tokens + candidate.unread_tokens <= bound
    }
}

#[cfg(test)]
mod tests;
