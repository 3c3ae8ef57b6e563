//! Event streams, prompts and keys.

use expect_test::expect;
use proptest::{collection::vec, prelude::*};
use serde_json::value::RawValue;
use uuid::Uuid;

use crate::{engine::prompt, ledger::stage_key, request::parse_key, sse::EventReader};

const MAX_LINE: usize = 1 << 10;

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split(
        lines in vec("[a-z\\[\\]{}é]{0,12}", 0..8),
        cuts in vec(1_usize..9, 1..40),
        ends in vec(any::<bool>(), 8),
    ) {
        let mut bytes = Vec::new();
        for (line, crlf) in lines.iter().zip(ends) {
            let end = if crlf { "\r\n\r\n" } else { "\n\n" };
            bytes.extend_from_slice(format!(": comment\nevent: x\ndata: {line}{end}").as_bytes());
        }
        let mut reader = EventReader::default();
        let mut seen = Vec::new();
        let mut rest = &bytes[..];
        for cut in cuts.into_iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, left) = rest.split_at(cut.min(rest.len()));
            rest = left;
            prop_assert!(reader.push(part, MAX_LINE).is_ok());
            while let Some(data) = reader.next_data() {
                seen.push(String::from_utf8(data.to_vec()).unwrap());
            }
        }
        prop_assert_eq!(seen, lines);
    }

    #[test]
    fn no_bytes_panic_the_reader(parts in vec(vec(any::<u8>(), 0..50), 0..20)) {
        let mut reader = EventReader::default();
        for part in parts {
            let _ = reader.push(&part, MAX_LINE);
            while reader.next_data().is_some() {}
        }
    }

    #[test]
    fn keys_of_later_stages_keep_the_timestamp_and_differ(
        ms in 0_u64..1 << 48,
        random: [u8; 10],
        nth in 1_usize..9,
    ) {
        let key = uuid::Builder::from_unix_timestamp_millis(ms, &random).into_uuid();
        let later = stage_key(key, nth);
        prop_assert_eq!(stage_key(key, 0), key);
        prop_assert_eq!(later.as_u128() >> 80, key.as_u128() >> 80);
        prop_assert_eq!(parse_key(&later.to_string()), Some(later));
        prop_assert_ne!(later, key);
        prop_assert_ne!(later, stage_key(key, nth + 1));
    }
}

#[test]
fn a_line_without_an_end_is_limited_in_length() {
    let mut reader = EventReader::default();
    let part = [b'x'; 512];
    let pushed: Vec<bool> = (0..5)
        .map(|_| reader.push(&part, MAX_LINE).is_ok())
        .collect();
    assert_eq!(pushed, [true, true, true, false, false]);
}

#[test]
fn prompts_are_strings_the_prompt_member_or_json() {
    let texts = [
        r#""a \"b\"""#,
        r#"{"prompt": "p", "x": 1}"#,
        r#"{"x": 1}"#,
        "[1, 2]",
        "null",
    ];
    let prompts = texts.map(|text| {
        let value: Box<RawValue> = RawValue::from_string(text.to_owned()).unwrap();
        prompt(&value).into_owned()
    });
    expect![[r#"
        [
            "a \"b\"",
            "p",
            "{\"x\": 1}",
            "[1, 2]",
            "null",
        ]
    "#]]
    .assert_debug_eq(&prompts);
}

#[test]
fn only_uuidv7_keys_are_accepted() {
    assert!(parse_key(&Uuid::now_v7().to_string()).is_some());
    assert!(parse_key(&Uuid::new_v4().to_string()).is_none());
    assert!(parse_key("").is_none());
}
