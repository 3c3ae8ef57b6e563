use super::Line;
use crate::event::Event;

const TEXT: &str = "edge-1| {\"level\":\"info\",\"timestamp\":12,\"payload\":\"chosen\",\
    \"logger\":\"edge-1\",\"kv\":{\"request\":\"r1\",\"at_ms\":7,\"event\":{\"kind\":\"resumed\",\
    \"endpoint\":\"i-1\",\"after\":3}},\"tid\":1}";

#[test]
fn line_is_parsed_with_its_event_and_time() {
    let line = Line::parse(TEXT).unwrap();
    assert_eq!((line.at_ms(), line.request()), (7, Some("r1")));
    assert!(line.mentions("r1") && !line.mentions("r2"));
    let resumed = Event::Resumed {
        endpoint: "i-1".to_owned(),
        after: 3,
    };
    assert_eq!(line.event(), Some(resumed));
    let details = [("after", "3"), ("endpoint", "i-1")];
    let details = details.map(|(key, value)| (key.to_owned(), value.to_owned()));
    assert_eq!(line.details(), details);
}

#[test]
fn text_in_another_format_is_not_parsed() {
    for text in [
        "",
        "thread panicked",
        "{\"level\":7}",
        "{\"level\":\"info\",\"timest",
    ] {
        assert_eq!(Line::parse(text), None, "{text}");
    }
}
