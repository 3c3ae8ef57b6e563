//! Whether placement weighs the delay that long prompts cause to other calls.

/// How long prompts are placed beside short ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LongPrompts {
    /// Each request goes where it is expected to be answered first.
    #[default]
    Ignore,
    /// The delay that its unread tokens cause to other calls counts as well, see
    /// [`routing::PrefillConfig`].
    Balance,
}

impl LongPrompts {
    /// Parses the setting `[routing] long_prompts`, absent for the default. The error says what to
    /// write.
    pub fn parse(text: Option<&str>) -> Result<Self, String> {
        match text {
            None | Some("ignore") => Ok(Self::Ignore),
            Some("balance") => Ok(Self::Balance),
            Some(other) => Err(format!("`{other}` is unknown; write ignore or balance")),
        }
    }
}

#[cfg(test)]
mod tests;
