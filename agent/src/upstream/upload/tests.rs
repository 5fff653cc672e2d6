use super::*;
use http_body_util::BodyExt;

/// The bytes read of a body, and whether it ended properly.
async fn read(mut body: RequestBody) -> (Vec<u8>, bool) {
    let mut all = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => all.extend_from_slice(frame.data_ref().expect("data")),
            Err(IncompleteRequest) => return (all, false),
        }
    }
    (all, true)
}

/// 3,000 random requests, split into pieces and either finished or broken off: a finished one arrives
/// complete and reports so, a broken one never looks complete.
#[tokio::test]
async fn only_finished_uploads_look_complete() {
    for seed in 0..3000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let pieces: Vec<Vec<u8>> =
            (0..random.usize(0..6)).map(|_| vec![random.u8(..); random.usize(1..9)]).collect();
        let (kept, finishes) = (vec![1; random.usize(0..4)], random.bool());
        let rest: Vec<u8> = pieces.concat();
        let length = random.bool().then_some((kept.len() + rest.len()) as u64);
        let (source, upload) = upload(length, Duration::from_secs(1), Instant::now(), MemoryBudget::new(0));
        let body = RequestBody::Streamed(Some(Bytes::from(kept.clone())), Rc::clone(&upload));
        assert!(upload.nothing_forwarded() && !upload.is_aborted());
        let deadline = Instant::now();
        let fill = async {
            for piece in &pieces {
                source.push(Bytes::from(piece.clone())).await;
            }
            if finishes {
                source.finish(deadline);
            }
        };
        let ((all, completed), ()) = tokio::join!(read(body), fill);
        assert_eq!((all, completed), ([kept, rest.clone()].concat(), finishes), "seed {seed}");
        assert_eq!(upload.forwarded_if_complete(), finishes.then_some(rest.len() as u64));
        assert_eq!((upload.is_aborted(), upload.nothing_forwarded()), (!finishes, rest.is_empty()));
        if finishes {
            assert_eq!(upload.completed().await, deadline);
        }
    }
}

/// A server that does not read must stop the client: no more than one piece is held.
#[tokio::test]
async fn one_piece_is_in_transit_at_a_time() {
    let (source, upload) = upload(None, Duration::from_secs(1), Instant::now(), MemoryBudget::new(0));
    source.push(Bytes::from_static(b"a")).await;
    let second = source.push(Bytes::from_static(b"b"));
    tokio::select! {
        biased;
        () = second => panic!("two pieces are held"),
        () = tokio::task::yield_now() => {}
    }
    assert!(upload.nothing_forwarded() && upload.forwarded_if_complete().is_none());
}
