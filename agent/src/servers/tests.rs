use super::*;
use crate::list::ListReply;

const WAIT: Duration = Duration::from_secs(1);
const NOW: Time = Time(1_000_000_000_000);

fn servers() -> (Servers, std::rc::Rc<Pool>) {
    (Servers::new(&[], &[], WAIT), Pool::new(4, WAIT, WAIT))
}

fn lines(text: &str) -> Lines {
    let reply: ListReply = serde_json::from_str(&format!(r#"{{"rev":1,"targets":[{text}]}}"#)).unwrap();
    reply.targets
}

fn entry(uid: &str, state: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:9","state":"{state}"}}"#)
}

fn unreadable(uid: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"nowhere","state":"SERVING"}}"#)
}

/// What the module is told of a server by these lines.
fn told(servers: &mut Servers, pool: &Pool, whole: bool, text: &[String], uid: &str) -> Option<Status> {
    let told = servers.take_list(NOW, whole, &lines(&text.join(",")), pool);
    let id = servers.ids[uid];
    told.into_iter().find(|line| line.server == id).map(|line| line.status)
}

/// The module would choose it again, and each attempt would be lost, since nothing is sent to a server that has left.
#[tokio::test]
async fn an_unreadable_line_does_not_bring_back_a_server_that_a_whole_list_left_out() {
    let (mut servers, pool) = servers();
    let both = [entry("s0", "SERVING"), entry("s1", "SERVING")];
    servers.take_list(NOW, true, &lines(&both.join(",")), &pool);
    servers.take_list(NOW, true, &lines(&entry("s1", "SERVING")), &pool);
    for whole in [false, true] {
        let text = [unreadable("s0"), entry("s1", "SERVING")];
        assert_eq!(told(&mut servers, &pool, whole, &text, "s0"), Some(Status::Gone), "whole: {whole}");
        assert!(!servers.is_current(servers.ids["s0"], 0));
    }
}

/// What is known of a server stands, whatever it is.
#[tokio::test]
async fn an_unreadable_line_changes_nothing_of_a_server_that_is_there() {
    let (mut servers, pool) = servers();
    for (state, status) in [("SERVING", Status::Serving), ("DRAINING", Status::Draining)] {
        servers.take_list(NOW, true, &lines(&entry("s0", state)), &pool);
        for whole in [false, true] {
            assert_eq!(told(&mut servers, &pool, whole, &[unreadable("s0")], "s0"), Some(status));
        }
    }
}

/// A line that can be read brings it back.
#[tokio::test]
async fn a_readable_line_brings_back_a_server_that_a_whole_list_left_out() {
    let (mut servers, pool) = servers();
    servers.take_list(NOW, true, &lines(&entry("s0", "SERVING")), &pool);
    servers.take_list(NOW, true, &lines(""), &pool);
    let text = [entry("s0", "SERVING")];
    assert_eq!(told(&mut servers, &pool, false, &text, "s0"), Some(Status::Serving));
    assert!(servers.is_current(servers.ids["s0"], 0));
}

/// What the module is told of a start: a claim of so many seconds before now, from a server that is new or was known with another
/// start, when discovery was last heard so many seconds ago.
fn believed(claimed_s: i64, heard_s: Option<u64>, is_known: bool) -> Time {
    let (mut servers, pool) = servers();
    let entry = |boot_us: i64| {
        let boot_ms = boot_us as f64 / 1e3;
        format!(r#"{{"uid":"s","endpoint":"127.0.0.1:9","state":"SERVING","boot_ms":{boot_ms}}}"#)
    };
    if is_known {
        servers.take_list(NOW, true, &lines(&entry(1_000_000)), &pool);
    }
    if let Some(heard_s) = heard_s {
        servers.heard(NOW - Span(heard_s * 1_000_000));
    }
    let claimed = entry(NOW.0 as i64 - claimed_s * 1_000_000);
    let told = servers.take_list(NOW, false, &lines(&claimed), &pool);
    let started = told[0].started.expect("it says when it started");
    // The same claim again is the same process, and believed as before.
    let again = servers.take_list(NOW + Span(9_000_000), false, &lines(&claimed), &pool);
    assert_eq!(again[0].started, Some(started));
    started
}

#[tokio::test]
async fn a_start_that_was_seen_happen_is_not_long_past_and_none_lies_ahead() {
    let ago = |s: u64| NOW - Span(s * 1_000_000);
    for is_known in [false, true] {
        // Heard 1 s ago: what started 7 s ago and more would have been told.
        assert_eq!(believed(2, Some(1), is_known), ago(2));
        assert_eq!(believed(7, Some(1), is_known), ago(7));
        assert_eq!(believed(8, Some(1), is_known), NOW);
        assert_eq!(believed(3_600, Some(1), is_known), NOW);
        // Discovery was silent: it may have happened at any time since.
        assert_eq!(believed(60, Some(60), is_known), ago(60));
        assert_eq!(believed(3_600, Some(60), is_known), NOW);
        // Nothing has been heard yet.
        assert_eq!(believed(3_600, None, is_known), ago(3_600));
        for heard in [None, Some(1), Some(60)] {
            assert_eq!(believed(-3_600, heard, is_known), NOW);
        }
    }
}
