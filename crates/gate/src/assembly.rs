//! Puts a stream's chunks together in offset order.

/// What became of a chunk.
#[derive(Debug, PartialEq)]
pub(crate) enum ChunkResult {
    /// New text, which now ends the text held; the range in bytes.
    New(std::ops::Range<usize>),
    /// Everything in the chunk was held already.
    Repeated,
    /// Text between what is held and the chunk is missing; the chunk was not taken.
    Gap,
    /// The chunk contradicts what is held; it was not taken.
    Diverged,
}

/// The text of one stream, whole from its start.
#[derive(Debug, Default)]
pub(crate) struct Assembly {
    text: String,
}

impl Assembly {
    /// The text held.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// The offset at which the stream goes on, in bytes.
    pub(crate) fn offset(&self) -> usize {
        self.text.len()
    }

    /// Takes the chunk `text` that begins at `offset`.
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
        // Where the bytes agree, a boundary of one text is a boundary of the other.
        let Some(new) = text.get(overlap..) else {
            return ChunkResult::Diverged;
        };
        if new.is_empty() {
            return ChunkResult::Repeated;
        }
        self.text.push_str(new);
        ChunkResult::New(held..self.text.len())
    }

    /// Forgets the text; only for a stream of which nothing was passed on.
    pub(crate) fn restart(&mut self) {
        self.text.clear();
    }
}
