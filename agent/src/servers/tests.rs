use super::*;
use crate::list::ListReply;

const WAIT: Duration = Duration::from_secs(1);
const NOW: Time = Time(1_000_000_000_000);

fn servers() -> (Servers, std::rc::Rc<Pool>) {
    (Servers::new(&[], &[], WAIT), Pool::new(4, WAIT, WAIT))
}

fn entries(text: &str) -> Entries {
    let reply: ListReply = serde_json::from_str(&format!(r#"{{"rev":1,"targets":[{text}]}}"#)).unwrap();
    reply.targets
}

fn entry(uid: &str, state: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:9","state":"{state}"}}"#)
}

fn unreadable(uid: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"nowhere","state":"SERVING"}}"#)
}

/// The status of a server that the decision module receives after these entries.
fn status_after(
    servers: &mut Servers,
    pool: &Pool,
    complete: bool,
    text: &[String],
    uid: &str,
) -> Option<Status> {
    let received = servers.apply_list(NOW, complete, &entries(&text.join(",")), pool);
    let id = servers.ids[uid];
    received.into_iter().find(|entry| entry.server == id).map(|entry| entry.status)
}

/// Otherwise the module would choose the server again, and every attempt would be lost, since nothing is sent
/// to a removed server.
#[tokio::test]
async fn an_unreadable_entry_does_not_bring_back_a_server_that_a_complete_list_left_out() {
    let (mut servers, pool) = servers();
    let both = [entry("s0", "SERVING"), entry("s1", "SERVING")];
    servers.apply_list(NOW, true, &entries(&both.join(",")), &pool);
    servers.apply_list(NOW, true, &entries(&entry("s1", "SERVING")), &pool);
    for complete in [false, true] {
        let text = [unreadable("s0"), entry("s1", "SERVING")];
        assert_eq!(
            status_after(&mut servers, &pool, complete, &text, "s0"),
            Some(Status::Gone),
            "complete: {complete}"
        );
        assert!(!servers.is_current(servers.ids["s0"], 0));
    }
}

/// The previous state of the server is kept, whatever it is.
#[tokio::test]
async fn an_unreadable_entry_keeps_the_state_of_a_listed_server() {
    let (mut servers, pool) = servers();
    for (state, status) in [("SERVING", Status::Serving), ("DRAINING", Status::Draining)] {
        servers.apply_list(NOW, true, &entries(&entry("s0", state)), &pool);
        for complete in [false, true] {
            assert_eq!(status_after(&mut servers, &pool, complete, &[unreadable("s0")], "s0"), Some(status));
        }
    }
}

/// An entry that can be parsed brings a removed server back.
#[tokio::test]
async fn a_readable_entry_brings_back_a_server_that_a_complete_list_left_out() {
    let (mut servers, pool) = servers();
    servers.apply_list(NOW, true, &entries(&entry("s0", "SERVING")), &pool);
    servers.apply_list(NOW, true, &entries(""), &pool);
    let text = [entry("s0", "SERVING")];
    assert_eq!(status_after(&mut servers, &pool, false, &text, "s0"), Some(Status::Serving));
    assert!(servers.is_current(servers.ids["s0"], 0));
}

/// The start time that the decision module receives: the server claims a start `claimed_s` seconds before
/// now, it is new or was known with another start, and the last answer of discovery was received `heard_s`
/// seconds ago.
fn start_after(claimed_s: i64, heard_s: Option<u64>, is_known: bool) -> Time {
    let (mut servers, pool) = servers();
    let entry = |boot_us: i64| {
        let boot_ms = boot_us as f64 / 1e3;
        format!(r#"{{"uid":"s","endpoint":"127.0.0.1:9","state":"SERVING","boot_ms":{boot_ms}}}"#)
    };
    if is_known {
        servers.apply_list(NOW, true, &entries(&entry(1_000_000)), &pool);
    }
    if let Some(heard_s) = heard_s {
        servers.record_answer(NOW - Span(heard_s * 1_000_000));
    }
    let claimed = entry(NOW.0 as i64 - claimed_s * 1_000_000);
    let received = servers.apply_list(NOW, false, &entries(&claimed), &pool);
    let started = received[0].started.expect("a start time");
    // The same claim again means the same process, with the same start time.
    let again = servers.apply_list(NOW + Span(9_000_000), false, &entries(&claimed), &pool);
    assert_eq!(again[0].started, Some(started));
    started
}

#[tokio::test]
async fn a_start_lies_neither_in_the_future_nor_before_the_last_answer_without_it() {
    let ago = |s: u64| NOW - Span(s * 1_000_000);
    for is_known in [false, true] {
        // Last answer 1 s ago: a start more than 7 s ago would have been announced.
        assert_eq!(start_after(2, Some(1), is_known), ago(2));
        assert_eq!(start_after(7, Some(1), is_known), ago(7));
        assert_eq!(start_after(8, Some(1), is_known), NOW);
        assert_eq!(start_after(3_600, Some(1), is_known), NOW);
        // Discovery was silent for 60 s: the start may have happened at any time since.
        assert_eq!(start_after(60, Some(60), is_known), ago(60));
        assert_eq!(start_after(3_600, Some(60), is_known), NOW);
        // No answer has been received yet.
        assert_eq!(start_after(3_600, None, is_known), ago(3_600));
        for heard in [None, Some(1), Some(60)] {
            assert_eq!(start_after(-3_600, heard, is_known), NOW);
        }
    }
}

/// Guards against a new process that is taken for the one that had its address before.
#[tokio::test]
async fn a_server_is_removed_when_another_has_started_at_its_address() {
    let entry = |uid: &str, boot_ms: u64| {
        format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:9","state":"SERVING","boot_ms":{boot_ms}}}"#)
    };
    let status = |received: &[ServerEntry], id: ServerId| {
        received.iter().find(|entry| entry.server == id).map(|entry| entry.status)
    };
    for (old_boot_ms, complete) in [(0, false), (0, true), (5, false), (5, true)] {
        let (mut servers, pool) = servers();
        servers.apply_list(NOW, true, &entries(&entry("old", old_boot_ms)), &pool);
        let mut text = entry("new", 9);
        if complete {
            text = [entry("old", old_boot_ms), text].join(",");
        }
        let received = servers.apply_list(NOW, complete, &entries(&text), &pool);
        let (old, new) = (servers.ids["old"], servers.ids["new"]);
        assert_eq!(status(&received, old), Some(Status::Gone), "{old_boot_ms}, complete: {complete}");
        assert_eq!(status(&received, new), Some(Status::Serving));
        assert!(!servers.is_current(old, 0) && servers.is_current(new, 0));
    }
}
