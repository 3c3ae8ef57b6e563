//! Assembly of streams with lost, repeated and reordered chunks.

use proptest::{collection::vec, prelude::*};

use crate::assembly::{Assembly, ChunkResult};

/// A text and chunks of it, as start and length in characters. Chunks may overlap and come in any
/// order.
fn text_and_chunks() -> impl Strategy<Value = (String, Vec<(usize, usize)>)> {
    ("[a-dé→😀]{0,40}", vec((0_usize..40, 0_usize..8), 0..60))
}

fn byte_at(text: &str, chars: usize) -> usize {
    text.char_indices()
        .nth(chars)
        .map_or(text.len(), |(at, _)| at)
}

proptest! {
    #[test]
    fn assembled_text_is_always_a_prefix_of_the_text(
        (text, cuts) in text_and_chunks(),
    ) {
        let mut assembly = Assembly::default();
        let mut passed_on = String::new();
        for (start, length) in cuts {
            let from = byte_at(&text, start);
            let to = byte_at(&text, start + length);
            let held = assembly.offset();
            match assembly.accept(from, &text[from..to]) {
                ChunkResult::New(range) => {
                    prop_assert_eq!(range.start, held);
                    passed_on.push_str(&assembly.text()[range]);
                }
                ChunkResult::Repeated => prop_assert!(to <= held),
                ChunkResult::Gap => prop_assert!(from > held),
                ChunkResult::Diverged => prop_assert!(false, "a cut of the text itself diverged"),
            }
            prop_assert!(text.starts_with(assembly.text()));
            prop_assert_eq!(&passed_on, assembly.text());
        }
    }

    #[test]
    fn resuming_at_every_gap_completes_the_text(
        (text, cuts) in text_and_chunks(),
    ) {
        let mut assembly = Assembly::default();
        for (start, length) in cuts {
            let from = byte_at(&text, start);
            let to = byte_at(&text, start + length);
            if assembly.accept(from, &text[from..to]) == ChunkResult::Gap {
                let offset = assembly.offset();
                let resumed = assembly.accept(offset, &text[offset..to]);
                prop_assert_eq!(resumed, ChunkResult::New(offset..to));
            }
        }
        let offset = assembly.offset();
        assembly.accept(offset, &text[offset..]);
        prop_assert_eq!(assembly.text(), text);
    }

    #[test]
    fn a_chunk_of_another_text_is_never_accepted(
        (text, other) in ("[ab]{1,20}", "[ab]{1,20}"),
        offset in 0_usize..20,
    ) {
        let mut assembly = Assembly::default();
        assembly.accept(0, &text);
        let accepted = assembly.accept(offset, &other);
        let whole = assembly.text().to_owned();
        prop_assert!(whole.starts_with(&text));
        if let ChunkResult::New(range) = accepted {
            let overlap = text.len() - offset;
            prop_assert_eq!(&text[offset..], &other[..overlap]);
            prop_assert_eq!(&whole[range], &other[overlap..]);
        }
    }
}
