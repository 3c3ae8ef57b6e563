use super::format_utc;

#[test]
fn formats_time_as_rfc3339_in_utc() {
    assert_eq!(format_utc(1_796_349_442_567), "2026-12-04T01:57:22Z");
}
