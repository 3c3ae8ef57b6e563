use super::{EventReader, NoData};

const MAX_BYTES: usize = 1 << 10;

/// Guards against a stream of comments or empty lines that keeps a processor busy until the deadline.
#[test]
fn ignored_lines_count_until_the_next_data_line() {
    for line in ["\n", "\r\n", ": comment\n\n", "event: x\n"] {
        let mut reader = EventReader::default();
        let part = line.repeat(MAX_BYTES / 4 / line.len());
        let mut pushed = Vec::new();
        for _ in 0..8 {
            pushed.push(reader.push(part.as_bytes(), MAX_BYTES));
            assert_eq!(reader.next_data(), None);
        }
        assert_eq!(pushed[0], Ok(()), "{line:?}");
        assert_eq!(pushed[7], Err(NoData), "{line:?}");
    }
}

#[test]
fn stream_with_data_is_not_limited() {
    let mut reader = EventReader::default();
    let event = format!("{}data: x\n\n", ": comment\n".repeat(MAX_BYTES / 20));
    for _ in 0..100 {
        assert_eq!(reader.push(event.as_bytes(), MAX_BYTES), Ok(()));
        assert_eq!(reader.next_data().as_deref(), Some(&b"x"[..]));
        assert_eq!(reader.next_data(), None);
    }
}

/// Guards against a line that is searched from its start for each part of it, which takes quadratic
/// time.
#[test]
fn part_of_a_line_is_scanned_once() {
    let mut reader = EventReader::default();
    for part in 1..=8 {
        reader.push(&[b'x'; 100], MAX_BYTES).unwrap();
        let scanned_before = reader.scanned;
        assert_eq!(reader.next_data(), None);
        assert_eq!(reader.scanned - scanned_before, 100, "part {part}");
    }
    reader.push(b"\ndata: y\n", MAX_BYTES).unwrap();
    assert_eq!(reader.next_data().as_deref(), Some(&b"y"[..]));
    assert_eq!(reader.scanned, 0);
}
