//! Which gate chooses the engines of requests with prompts.

/// Which gate chooses the engines of requests with prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EnginePlacement {
    /// Each gate chooses for its own requests.
    #[default]
    Gate,
    /// One gate of each availability zone chooses for all gates of the zone, see
    /// [`routing::EngineTable`].
    Zone,
    /// As [`Self::Zone`] for services whose endpoints report how slow they currently are, which changes
    /// too often for gates that call each endpoint rarely.
    Auto,
}

impl EnginePlacement {
    /// Parses the setting `[routing] engine_placement`, absent for the default. The error says what
    /// to write.
    pub fn parse(text: Option<&str>) -> Result<Self, String> {
        match text {
            None | Some("gate") => Ok(Self::Gate),
            Some("zone") => Ok(Self::Zone),
            Some("auto") => Ok(Self::Auto),
            Some(other) => Err(format!("`{other}` is unknown; write gate, zone or auto")),
        }
    }
}
