use super::*;
use http_body_util::BodyExt;

/// What is read of a body, and whether it came to its end.
async fn read(mut body: Sending) -> (Vec<u8>, bool) {
    let mut all = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => all.extend_from_slice(frame.data_ref().expect("data")),
            Err(NotWhole) => return (all, false),
        }
    }
    (all, true)
}

/// Thousands of requests, cut in pieces and ended in every way: a whole one passes whole and says so, a broken one
/// never looks whole.
#[tokio::test]
async fn what_comes_whole_passes_whole_and_nothing_else_looks_so() {
    for seed in 0..3000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let pieces: Vec<Vec<u8>> =
            (0..random.usize(0..6)).map(|_| vec![random.u8(..); random.usize(1..9)]).collect();
        let (kept, finishes) = (vec![1; random.usize(0..4)], random.bool());
        let rest: Vec<u8> = pieces.concat();
        let length = random.bool().then_some((kept.len() + rest.len()) as u64);
        let (source, upload) = upload(length, Duration::from_secs(1));
        let body = Sending::Coming(Some(Bytes::from(kept.clone())), Rc::clone(&upload));
        assert!(upload.is_untouched() && !upload.is_broken());
        let deadline = Instant::now();
        let fill = async {
            for piece in &pieces {
                source.push(Bytes::from(piece.clone())).await;
            }
            if finishes {
                source.finish(deadline);
            }
        };
        let ((all, whole), ()) = tokio::join!(read(body), fill);
        assert_eq!((all, whole), ([kept, rest.clone()].concat(), finishes), "seed {seed}");
        assert_eq!(upload.passed_whole(), finishes.then_some(rest.len() as u64));
        assert_eq!((upload.is_broken(), upload.is_untouched()), (!finishes, rest.is_empty()));
        if finishes {
            assert_eq!(upload.whole().await, deadline);
        }
    }
}

/// A backend that takes nothing makes the client wait: no more than a piece is held.
#[tokio::test]
async fn one_piece_is_on_its_way_at_a_time() {
    let (source, upload) = upload(None, Duration::from_secs(1));
    source.push(Bytes::from_static(b"a")).await;
    let second = source.push(Bytes::from_static(b"b"));
    tokio::select! {
        biased;
        () = second => panic!("two pieces are held"),
        () = tokio::task::yield_now() => {}
    }
    assert!(upload.is_untouched() && upload.passed_whole().is_none());
}
