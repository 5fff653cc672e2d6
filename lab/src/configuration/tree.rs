//! For comparison only: a tree from the control machines, with acknowledgements. Each node sends an entry's pieces to its children,
//! which acknowledge it once it is whole; whoever has not acknowledged is sent all of it again.

use super::geography;
use super::spread::Shown;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// After this an entry that was not acknowledged is sent again.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// The bytes of an acknowledgement: envelope, key, version and digest.
const ACKNOWLEDGEMENT: u64 = 45;
/// The bytes of a piece but its content.
const PIECE_HEAD: usize = 46;
/// The bytes of content in a piece.
const PIECE: usize = 180;

/// The shape of a tree.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// The writer sends to the other control machines, and each of these to its share of all others.
    ControlMachines(usize),
    /// Every node has so many children.
    Fanout(usize),
}

impl Shape {
    fn parent(self, node: usize) -> usize {
        match self {
            Shape::ControlMachines(machines) if node < machines => 0,
            Shape::ControlMachines(machines) => node % machines,
            Shape::Fanout(children) => (node - 1) / children,
        }
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    /// A piece reaches a node.
    Piece(usize, usize),
    /// A child's acknowledgement reaches its parent.
    Acknowledged(usize),
    /// A parent looks whether this child has acknowledged.
    Retry(usize),
}

/// One change through a tree: members, loss, the bytes of its content. Bytes in [`Shown`] are those of this one change, not of a
/// second.
pub fn spread(shape: Shape, members: usize, loss: f64, content: usize, seed: u64) -> Shown {
    let mut random = fastrand::Rng::with_seed(seed);
    let pieces = content.div_ceil(PIECE).max(1);
    let mut queue: BinaryHeap<Reverse<(Duration, u64, Happening)>> = BinaryHeap::new();
    let mut children = vec![Vec::new(); members];
    (1..members).for_each(|node| children[shape.parent(node)].push(node));
    let mut have = vec![vec![false; pieces]; members];
    let (mut took, mut acknowledged) = (vec![None; members], vec![false; members]);
    let (mut out, mut received) = (vec![0_u64; members], vec![0_u64; members]);
    took[0] = Some(Duration::ZERO);
    let mut order = 0;
    let mut push = |queue: &mut BinaryHeap<_>, at: Duration, happening| {
        order += 1;
        queue.push(Reverse((at, order, happening)));
    };
    for &child in &children[0] {
        push(&mut queue, Duration::ZERO, Happening::Retry(child));
    }
    while let Some(Reverse((now, _, happening))) = queue.pop() {
        match happening {
            Happening::Retry(child) if acknowledged[child] => {}
            Happening::Retry(child) => {
                let parent = shape.parent(child);
                for piece in 0..pieces {
                    out[parent] += piece_bytes(content, piece);
                    if random.f64() >= loss {
                        let at = now + geography::delay(&mut random, parent, child);
                        push(&mut queue, at, Happening::Piece(child, piece));
                    }
                }
                push(&mut queue, now + RETRY_AFTER, Happening::Retry(child));
            }
            Happening::Piece(node, piece) => {
                received[node] += piece_bytes(content, piece);
                have[node][piece] = true;
                if have[node].contains(&false) {
                    continue;
                }
                out[node] += ACKNOWLEDGEMENT;
                if random.f64() >= loss {
                    let at = now + geography::delay(&mut random, node, shape.parent(node));
                    push(&mut queue, at, Happening::Acknowledged(node));
                }
                if took[node].is_none() {
                    took[node] = Some(now);
                    for &child in &children[node] {
                        push(&mut queue, now, Happening::Retry(child));
                    }
                }
            }
            Happening::Acknowledged(child) => {
                received[shape.parent(child)] += ACKNOWLEDGEMENT;
                acknowledged[child] = true;
            }
        }
    }
    let mut took: Vec<f64> = took.into_iter().flatten().map(|took: Duration| took.as_secs_f64()).collect();
    took.sort_by(f64::total_cmp);
    let floats = |bytes: Vec<u64>| bytes.into_iter().map(|bytes| bytes as f64).collect();
    let missing = members - took.len();
    Shown { took, missing, out: floats(out), received: floats(received), at_rest: 0.0, seconds: 1.0 }
}

fn piece_bytes(content: usize, piece: usize) -> u64 {
    (PIECE_HEAD + content.saturating_sub(piece * PIECE).min(PIECE)) as u64
}
