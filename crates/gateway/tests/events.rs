//! An event stream is split into whole events, however the network has cut its bytes.

use gateway::events::EventSplitter;
use rstest::rstest;

fn split(chunks: &[&str]) -> (Vec<(String, Option<u64>)>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk.as_bytes()).expect("events below the limit");
        while let Some(event) = splitter.next_event() {
            events.push((String::from_utf8_lossy(&event.bytes).into_owned(), event.id));
        }
    }
    (events, splitter.is_at_boundary())
}

#[rstest]
#[case::one(&["id: 1\ndata: a\n\n"], &[("id: 1\ndata: a\n\n", Some(1))], true)]
#[case::two_at_once(&["id:1\n\nid:2\n\n"], &[("id:1\n\n", Some(1)), ("id:2\n\n", Some(2))], true)]
#[case::cut_inside_lines(&["id: 1\nda", "ta: a\n", "\n"], &[("id: 1\ndata: a\n\n", Some(1))], true)]
#[case::carriage_returns(&["id: 3\r\ndata: a\r\n\r", "\n"], &[("id: 3\r\ndata: a\r\n\r\n", Some(3))], true)]
#[case::blank_line_of_mixed_ends(&["id: 4\r\n\n"], &[("id: 4\r\n\n", Some(4))], true)]
#[case::both_line_ends(&["id: 5\r\n\r\nid: 6\n\n"], &[("id: 5\r\n\r\n", Some(5)), ("id: 6\n\n", Some(6))], true)]
#[case::blank_line_first(&["\r\n\r\nid: 7\n\n"], &[("\r\n\r\n", None), ("id: 7\n\n", Some(7))], true)]
#[case::without_id(&["data: a\n\n"], &[("data: a\n\n", None)], true)]
#[case::ends_inside_an_event(&["id: 1\n\nid: 2\nda"], &[("id: 1\n\n", Some(1))], false)]
fn chunks_are_split_into_whole_events(
    #[case] chunks: &[&str],
    #[case] expected: &[(&str, Option<u64>)],
    #[case] at_boundary: bool,
) {
    let expected: Vec<_> = expected.iter().map(|it| (it.0.to_string(), it.1)).collect();
    assert_eq!(split(chunks), (expected, at_boundary));
}

#[test]
fn an_event_longer_than_the_limit_is_an_error() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'a'; 600 << 10];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.next_event().is_none());
    assert!(splitter.push(&chunk).is_err());
}

#[rstest]
#[case::comment(b": waiting\n\n", true)]
#[case::comment_with_carriage_returns(b": waiting\r\n\r\n", true)]
#[case::event(b"id: 3\ndata: x\n\n", false)]
#[case::event_after_a_comment(b": waiting\ndata: x\n\n", false)]
#[case::no_event(b"HTTP/1.1 500 Error\r\n\r\n", false)]
fn an_event_of_comments_is_told_from_others(#[case] bytes: &'static [u8], #[case] expected: bool) {
    let mut splitter = EventSplitter::default();
    splitter.push(bytes).expect("a short event");
    assert_eq!(splitter.next_event().map(|it| it.is_comment()), Some(expected));
}
