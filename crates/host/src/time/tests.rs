use super::format_utc;

#[test]
fn a_time_is_written_in_utc() {
    assert_eq!(format_utc(1_796_349_442_567), "2026-12-04T01:57:22Z");
}
