//! Assembles the text of a stream from chunks with offsets.

/// Result of adding a chunk.
#[derive(Debug, PartialEq)]
pub(crate) enum ChunkResult {
    /// New text was appended; its range in bytes.
    New(std::ops::Range<usize>),
    /// All text of the chunk was already present.
    Repeated,
    /// Text before the chunk is missing; the chunk was ignored.
    Gap,
    /// The chunk contradicts the text already present; it was ignored.
    Diverged,
}

/// Text of a stream, complete from its start.
#[derive(Debug, Default)]
pub(crate) struct Assembly {
    text: String,
}

impl Assembly {
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Offset at which the stream continues, in bytes.
    pub(crate) fn offset(&self) -> usize {
        self.text.len()
    }

    /// Adds the chunk `text` that starts at `offset`.
    pub(crate) fn accept(&mut self, offset: usize, text: &str) -> ChunkResult {
        let held = self.text.len();
        if offset > held {
            return ChunkResult::Gap;
        }
        let overlap = (held - offset).min(text.len());
        let is_same = self.text.as_bytes()[offset..offset + overlap] == text.as_bytes()[..overlap];
        if !is_same {
            return ChunkResult::Diverged;
        }
        // The overlapping bytes are equal, so a character boundary of one text is also one of the
        // other.
        let Some(new) = text.get(overlap..) else {
            return ChunkResult::Diverged;
        };
        if new.is_empty() {
            return ChunkResult::Repeated;
        }
        self.text.push_str(new);
        ChunkResult::New(held..self.text.len())
    }

    /// Discards the text. Only allowed if none of it was forwarded.
    pub(crate) fn restart(&mut self) {
        self.text.clear();
    }
}
