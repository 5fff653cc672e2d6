//! One member's view of the fleet. Membership is SWIM by the crate `foca`; round it stand what that leaves to its user:
//! lives, seeking whom it does not know, comparing views, time that a stopped process did not have, and how sure it is.
//!
//! Packets and time go in, packets and events come out: after each call of a `handle_` method, take what there is with
//! [`View::poll_packet`] and [`View::poll_event`], and call again at [`View::next_timer`].

use crate::envelope::{BODY_MOST, Room, Unreadable, open, seal};
use crate::health::Health;
use crate::member::{Identity, Life, MEMBERS_MOST, Name, Number, Numbers, State};
use crate::pace;
use crate::sync::{BUCKETS, Summary, Sums, Talk, bucket, encode, pack};
use crate::table::{Entry, Table};
use crate::timers::Timers;
use foca::{Codec, Foca, Identity as _, Member, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// How often somebody is drawn by number before all are looked through.
const TRIES: u32 = 8;
/// Packets that wait to be sent. Past it the oldest is dropped, as a network would.
const PACKETS_MOST: usize = 1_024;
/// Events that wait to be taken. Past it the oldest is dropped and counted.
const EVENTS_MOST: usize = 8_192;

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Its number: its place among `peers`.
    pub number: Number,
    /// Its name.
    pub name: Name,
    /// The life to begin with; see [`Life::from_unix_ms`].
    pub life: Life,
    /// Where each member is reached, by number, its own among them.
    pub peers: Vec<SocketAddr>,
    /// For random choices.
    pub seed: u64,
}

impl Setup {
    /// Whether a member can start with this; where it is reached, if so.
    pub fn check(&self) -> Result<SocketAddr, BadSetup> {
        let peers = &self.peers;
        if peers.len() > usize::from(MEMBERS_MOST) {
            return Err(BadSetup::TooMany(peers.len()));
        }
        let mut sorted = peers.clone();
        sorted.sort_unstable();
        if let Some(pair) = sorted.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(BadSetup::Twice(pair[0]));
        }
        peers
            .get(usize::from(self.number.0))
            .copied()
            .ok_or(BadSetup::NotAmongPeers(self.number, peers.len()))
    }
}

/// Why a member can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BadSetup {
    /// Its number is not that of one of the peers.
    #[error("its number {0} is not among the {1} peers")]
    NotAmongPeers(Number, usize),
    /// More peers than a view holds.
    #[error("{0} peers; a view holds at most {MEMBERS_MOST}")]
    TooMany(usize),
    /// Two peers have one address.
    #[error("the address {0} stands twice among the peers")]
    Twice(SocketAddr),
}

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Dropped {
    /// It can't be read.
    #[error("{0}")]
    Unreadable(#[from] Unreadable),
    /// It does not come from where it says, or its sender's number belongs to another address.
    #[error("a stranger")]
    Stranger,
    /// It was sent by an earlier life of its sender.
    #[error("an earlier life")]
    EarlierLife,
    /// It came to a member that has left or keeps quiet.
    #[error("not listening")]
    NotListening,
}

/// What has become of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Change {
    /// It is there, for the first time that this view knows of.
    Joined,
    /// It is there in a new life, and nobody had called the one before gone.
    NewLife,
    /// Somebody had no answer from it.
    Suspected,
    /// It has contradicted.
    Cleared,
    /// It is gone.
    Gone,
    /// It was gone and is there.
    Back,
}

impl Change {
    /// The word for it; words are stable, tools read them.
    pub fn word(self) -> &'static str {
        match self {
            Change::Joined => "joined",
            Change::NewLife => "new-life",
            Change::Suspected => "suspected",
            Change::Cleared => "cleared",
            Change::Gone => "gone",
            Change::Back => "back",
        }
    }
}

/// What a view tells, once and in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Something has become of a member.
    Member(Change, Identity),
    /// The view is sure from now on, or is not.
    Sure(bool),
    /// The fleet knew this number in a higher life, and this one went above.
    WentAbove {
        /// What the fleet knew.
        known: Life,
        /// What it is now.
        life: Life,
    },
    /// The fleet had called this member gone, and it has come back.
    CalledGone,
    /// There is another process with this number and a higher life; this one keeps quiet for a while.
    Yielded {
        /// The other's life.
        to: Life,
    },
    /// This process was stopped or starved for so long.
    Late(Duration),
}

/// A line of a view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Who.
    pub identity: Identity,
    /// How it is.
    pub state: State,
    /// For how long it has been so, as far as this view knows.
    pub since: Duration,
}

/// What a view counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Packets that were taken in.
    pub received: u64,
    /// Packets that were dropped, whatever the reason.
    pub dropped: u64,
    /// Packets that were sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Packets and events that nobody took in time.
    pub overflowed: u64,
    /// Times that it was stopped or starved.
    pub late: u64,
}

/// Timers of a view.
enum What {
    Swim(Timer<Identity>),
    Seek,
    Sync,
    /// Once more, since a comparison has found a difference.
    SyncSoon,
    /// Looks whether the view is still sure.
    Look,
}

/// Whom this member has heard itself, and lately. Shared with [`Words`], since the membership protocol reads for itself.
#[derive(Default)]
struct Ears {
    now: Cell<Duration>,
    /// How long somebody may be silent and still count as heard: as long as others wait before they call it gone, and longer
    /// while this member is itself unwell and asks less often.
    window: Cell<Duration>,
    /// The identity that spoke last under each number, and when.
    heard: RefCell<BTreeMap<Number, (Identity, Duration)>>,
    /// Whose packet was read last: what one says of itself needs no second ear.
    speaker: RefCell<Option<Identity>>,
    /// Whom others call gone while this one has just heard it.
    doubted: RefCell<BTreeMap<Number, Member<Identity>>>,
    /// Whom anything was said of since the table was last brought up to date.
    named: RefCell<Numbers>,
}

impl Ears {
    fn hear(&self, who: &Identity) {
        let mut heard = self.heard.borrow_mut();
        // A packet of an earlier turn is an old one.
        if heard.get(&who.number).is_none_or(|(known, _)| !known.win_addr_conflict(who)) {
            heard.insert(who.number, (who.clone(), self.now.get()));
        }
        self.named.borrow_mut().add(who.number);
        *self.speaker.borrow_mut() = Some(who.clone());
    }

    /// Whether this one was heard within the time that others must have waited for it in vain.
    fn lately(&self, who: &Identity) -> bool {
        let heard = self.heard.borrow();
        let at = heard.get(&who.number).filter(|(identity, _)| identity == who).map(|(_, at)| *at);
        at.is_some_and(|at| self.now.get().saturating_sub(at) < self.window.get())
    }

    /// What to believe of what others say: a death that this member's own ears contradict is a suspicion for now, so that
    /// neither the end of a partition nor one who is wrong makes everybody flap.
    fn weigh(&self, said: Member<Identity>) -> Member<Identity> {
        self.named.borrow_mut().add(said.id().number);
        let leaves = self.speaker.borrow().as_ref() == Some(said.id());
        if said.state() != foca::State::Down || leaves || !self.lately(said.id()) {
            return said;
        }
        let suspect = Member::new(said.id().clone(), said.incarnation(), foca::State::Suspect);
        self.doubted.borrow_mut().insert(said.id().number, said);
        suspect
    }

    /// The deaths that were doubted and have proved true, since nobody was heard again.
    fn proved(&self) -> Vec<Member<Identity>> {
        let mut proved = Vec::new();
        self.doubted.borrow_mut().retain(|number, said| {
            let at =
                |who: &Identity| self.heard.borrow().get(number).filter(|(i, _)| i == who).map(|(_, at)| *at);
            match at(said.id()) {
                // Another life or turn has spoken since: the death was that of the one before.
                None => false,
                Some(_) if self.lately(said.id()) => true,
                Some(_) => {
                    proved.push(said.clone());
                    false
                }
            }
        });
        proved
    }
}

/// Reads and writes what the membership protocol says; refuses a member at an address that belongs to another number.
struct Words {
    peers: Vec<SocketAddr>,
    ears: Rc<Ears>,
    inner: PostcardCodec,
}

/// A member whose address contradicts the configuration, or words that can't be read.
#[derive(Debug, thiserror::Error)]
enum BadWords {
    #[error("{0}")]
    Postcard(#[from] postcard::Error),
    #[error("an address that belongs to another number")]
    Address,
}

impl Words {
    /// Whether this may be the address of that number: the configuration has the last word on numbers that it names.
    fn fits(&self, identity: &Identity) -> bool {
        match self.peers.get(usize::from(identity.number.0)) {
            Some(address) => *address == identity.address,
            None => !self.peers.contains(&identity.address),
        }
    }
}

impl Codec<Identity> for Words {
    type Error = BadWords;

    fn encode_header(
        &mut self,
        header: &foca::Header<Identity>,
        to: impl bytes::BufMut,
    ) -> Result<(), BadWords> {
        Ok(self.inner.encode_header(header, to)?)
    }

    fn decode_header(&mut self, from: impl bytes::Buf) -> Result<foca::Header<Identity>, BadWords> {
        Ok(self.inner.decode_header(from)?)
    }

    fn encode_member(&mut self, member: &Member<Identity>, to: impl bytes::BufMut) -> Result<(), BadWords> {
        Ok(self.inner.encode_member(member, to)?)
    }

    fn decode_member(&mut self, from: impl bytes::Buf) -> Result<Member<Identity>, BadWords> {
        let member: Member<Identity> = self.inner.decode_member(from)?;
        if self.fits(member.id()) { Ok(self.ears.weigh(member)) } else { Err(BadWords::Address) }
    }
}

/// What the membership protocol wants done.
#[derive(Default)]
struct Wants {
    sends: Vec<(Identity, Vec<u8>)>,
    timers: Vec<(Timer<Identity>, Duration)>,
    called_gone: bool,
}

impl Runtime<Identity> for Wants {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        self.called_gone |= matches!(notification, Notification::Rejoin(_));
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// What became of this member itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It takes part.
    Present,
    /// Another process has its number; until then it keeps quiet, then it goes above this life.
    Quiet { until: Duration, above: Life },
    /// It has left for good.
    Left,
}

/// One member's view of the fleet. Times are those of any clock that only goes forward.
pub struct View {
    swim: Foca<Identity, Words, SmallRng, foca::NoCustomBroadcast>,
    words: Words,
    ears: Rc<Ears>,
    random: SmallRng,
    peers: Vec<SocketAddr>,
    /// The same, to be searched.
    by_address: HashSet<SocketAddr>,
    started: Duration,
    standing: Standing,
    health: Health,
    /// A probe of the present period has failed.
    probe_failed: bool,
    timers: Timers<What>,
    /// All others that were ever heard of.
    table: Table,
    /// An earlier comparison than the next regular one is on its way.
    asks_soon: bool,
    /// When another member last had the same view.
    agreed: Option<Duration>,
    was_sure: bool,
    packets: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<Event>,
    counts: Counts,
}

impl View {
    /// A member that starts now.
    pub fn new(setup: Setup, now: Duration) -> Result<View, BadSetup> {
        let address = setup.check()?;
        let Setup { number, name, life, peers, seed } = setup;
        let me = Identity { number, life, turn: 0, address, name };
        let ears = Rc::new(Ears::default());
        let words = || Words { peers: peers.clone(), ears: Rc::clone(&ears), inner: PostcardCodec };
        let random = SmallRng::seed_from_u64(seed);
        let mut view = View {
            swim: Foca::new(me, settings(), SmallRng::seed_from_u64(!seed), words()),
            words: words(),
            ears,
            random,
            by_address: peers.iter().copied().collect(),
            peers,
            started: now,
            standing: Standing::Present,
            health: Health::default(),
            probe_failed: false,
            timers: Timers::default(),
            table: Table::default(),
            asks_soon: false,
            agreed: None,
            was_sure: false,
            packets: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
        };
        // Members that start together do not all speak at once.
        let apart = pace::SEEK_EVERY_ALONE.mul_f64(view.random.random_range(0.0..1.0));
        view.timers.set(now + apart, What::Seek);
        view.timers.set(now + apart + pace::SYNC_EVERY_UNLIKE, What::Sync);
        view.timers.set(now, What::Look);
        Ok(view)
    }

    // ---- what it says -------------------------------------------------------------------------------

    /// This member, as the others know it.
    pub fn me(&self) -> &Identity {
        self.swim.identity()
    }

    /// All that were ever heard of, by number, this member among them.
    pub fn members(&self, now: Duration) -> Vec<Line> {
        let mut lines: Vec<Line> = self
            .table
            .lines()
            .map(|e| Line {
                identity: e.identity.clone(),
                state: e.state,
                since: now.saturating_sub(e.since),
            })
            .collect();
        let me = self.me().clone();
        let state = if self.standing == Standing::Present { State::Alive } else { State::Gone };
        let at = lines.partition_point(|line| line.identity.number < me.number);
        lines.insert(at, Line { identity: me, state, since: now.saturating_sub(self.started) });
        lines
    }

    /// Equal for two views exactly if these hold the same members in the same lives, and the same of them gone.
    pub fn digest(&self) -> u64 {
        self.summary().digest()
    }

    /// Whether this view is likely to be that of the fleet: another member had the same within [`pace::SURE_FOR`], and more
    /// than half of all members that the configuration or the fleet has ever named are there and not even suspected. A
    /// member that is cut off, alone or with a minority, is not sure, and knows it.
    pub fn is_sure(&self, now: Duration) -> bool {
        let present = 1 + self.table.alive();
        let named = self.named();
        let agreed = self.agreed.is_some_and(|at| now.saturating_sub(at) < pace::SURE_FOR);
        self.standing == Standing::Present && 2 * present > named && (agreed || named == 1)
    }

    /// How many members are there, this one among them.
    pub fn size(&self) -> usize {
        1 + self.present()
    }

    /// How many of them are suspected.
    pub fn suspects(&self) -> usize {
        self.table.present() - self.table.alive()
    }

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn present(&self) -> usize {
        self.table.present()
    }

    /// How many members the configuration or the fleet has ever named, this one among them.
    fn named(&self) -> usize {
        let beyond = self.table.from(Number(self.peers.len() as u16));
        self.peers.len() + beyond
    }

    fn summary(&self) -> Summary {
        let mut summary = self.table.summary();
        summary.add(self.me(), false);
        summary
    }

    // ---- what comes in ------------------------------------------------------------------------------

    /// A packet has come from this address.
    pub fn handle_packet(&mut self, now: Duration, from: SocketAddr, packet: &[u8]) -> Result<(), Dropped> {
        self.forgive(now);
        let handled = self.take(now, from, packet);
        match handled {
            Ok(()) => self.counts.received += 1,
            Err(_) => self.counts.dropped += 1,
        }
        self.refresh(now);
        handled
    }

    /// Time has passed; must be called at [`View::next_timer`], and may be at any time.
    pub fn handle_timeout(&mut self, now: Duration) {
        self.forgive(now);
        self.listen(now);
        while let Some(what) = self.timers.pop_due(now) {
            self.elapsed(now, what);
            self.refresh(now);
        }
        self.look(now);
    }

    /// When [`View::handle_timeout`] is due.
    pub fn next_timer(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// The next packet to be sent, and where to.
    pub fn poll_packet(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.packets.pop_front()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// This member leaves for good: it tells some, who tell the others. From here on it says and hears nothing.
    pub fn leave(&mut self, now: Duration) {
        if self.standing != Standing::Present {
            return;
        }
        // Under a turn that nobody has heard yet, so that nobody doubts it; what would make it heard is not sent.
        if let Some(last) = self.me().renew() {
            let waiting = self.packets.len();
            self.swim(now, |swim, wants| swim.change_identity(last, wants));
            self.packets.truncate(waiting);
        }
        self.swim(now, |swim, wants| swim.leave_cluster(wants));
        // Others than the first few, in case those don't hear it.
        self.swim(now, |swim, wants| swim.gossip(wants));
        self.standing = Standing::Left;
    }

    fn take(&mut self, now: Duration, from: SocketAddr, packet: &[u8]) -> Result<(), Dropped> {
        let (room, body) = open(packet)?;
        if self.standing != Standing::Present {
            return Err(Dropped::NotListening);
        }
        // Only now: garbage must cost no look at the whole table.
        self.listen(now);
        match room {
            Room::Swim => self.take_swim(now, from, body),
            Room::Talk => {
                let talk = postcard::from_bytes(body).map_err(|_| Unreadable::UnknownWords)?;
                if !self.is_known(from) {
                    return Err(Dropped::Stranger);
                }
                self.take_talk(now, from, talk);
                Ok(())
            }
            // The shell gives these to the configuration's state machine.
            Room::Configuration => Err(Unreadable::UnknownWords.into()),
        }
    }

    fn is_known(&self, address: SocketAddr) -> bool {
        address != self.me().address && (self.by_address.contains(&address) || self.table.is_at(address))
    }

    fn take_swim(&mut self, now: Duration, from: SocketAddr, body: &[u8]) -> Result<(), Dropped> {
        let header = self.words.decode_header(body).map_err(|_| Unreadable::UnknownWords)?;
        let (sender, meant) = (header.src, header.dst);
        if sender.address != from || !self.words.fits(&sender) || sender.number == self.me().number {
            return Err(Dropped::Stranger);
        }
        if let Some(known) =
            self.table.get(sender.number).map(|e| e.identity.life).filter(|l| *l > sender.life)
        {
            // It has just started and its clock has stepped back, or this packet has travelled for long.
            self.say(from, &Talk::Higher { number: sender.number, life: known });
            return Err(Dropped::EarlierLife);
        }
        self.ears.hear(&sender);
        let mut read = true;
        self.swim(now, |swim, wants| {
            let handled = swim.handle_data(body, wants);
            read = !matches!(handled, Err(foca::Error::Decode(_) | foca::Error::MalformedPacket));
            handled
        });
        if !read {
            return Err(Unreadable::UnknownWords.into());
        }
        let me = self.me().clone();
        if meant.number == me.number && meant != me {
            // The membership protocol reads nothing that was meant for an earlier identity. Whoever has not heard of the present
            // one hears it now; a suspicion must not be told for such a packet, since nothing in it was believed, and the
            // contradiction would come back the same way, for ever.
            self.say(from, &Talk::Records(vec![Member::alive(me)]));
            return Ok(());
        }
        // Whoever is suspected hears so at once from all that it talks to, and can contradict.
        self.refresh(now);
        let suspected =
            self.table.get(sender.number).is_some_and(|e| e.state == State::Suspect && e.identity == sender);
        let suspect = suspected.then(|| self.swim.iter_members().find(|m| m.id() == &sender).cloned());
        if let Some(suspect) = suspect.flatten() {
            self.say(from, &Talk::Records(vec![suspect]));
        }
        Ok(())
    }

    fn take_talk(&mut self, now: Duration, from: SocketAddr, talk: Talk) {
        match talk {
            Talk::Ask { sums, back } => self.compare(now, from, &sums, back),
            Talk::Same { digest } if digest == self.digest() => self.agreed = Some(now),
            Talk::Records(records) => {
                self.ears.speaker.replace(None);
                let records = records.into_iter().filter(|r| self.words.fits(r.id()));
                let records: Vec<_> = records.map(|r| self.ears.weigh(r)).collect();
                self.swim(now, |swim, wants| swim.apply_many(records.into_iter(), false, wants));
            }
            Talk::Higher { number, life } if number == self.me().number && life > self.me().life => {
                self.met_higher(now, life);
            }
            // Late, or meant for another.
            Talk::Same { .. } | Talk::Higher { .. } => {}
        }
    }

    /// Somebody asks whether its view is like this one.
    fn compare(&mut self, now: Duration, from: SocketAddr, sums: &Sums, back: bool) {
        self.refresh(now);
        let own = self.summary().sums();
        let unlike = own.unlike(sums);
        if unlike.is_empty() {
            self.agreed = Some(now);
            if !back {
                self.say(from, &Talk::Same { digest: self.digest() });
            }
            return;
        }
        for talk in pack(self.records(unlike)) {
            self.say(from, &talk);
        }
        if !back {
            self.say(from, &Talk::Ask { sums: own, back: true });
        }
        if !std::mem::replace(&mut self.asks_soon, true) {
            self.timers.set(now + pace::SYNC_EVERY_UNLIKE, What::SyncSoon);
        }
    }

    /// What it knows of the members in these parts: part by part, since one that has come whole is not sent again, in any order
    /// and from anywhere in each, since what does not fit this time is to be another piece the next time.
    fn records(&mut self, mut parts: Vec<usize>) -> Vec<Member<Identity>> {
        parts.shuffle(&mut self.random);
        let me = self.me().number;
        let mut of_parts: Vec<Vec<&Member<Identity>>> = vec![Vec::new(); BUCKETS];
        for member in self.swim.iter_membership_state().filter(|m| m.id().number != me) {
            of_parts[bucket(member.id().number)].push(member);
        }
        let mut records = Vec::new();
        for part in parts {
            let of_part = &mut of_parts[part];
            of_part.sort_unstable_by_key(|m| m.id().number);
            let first = self.random.random_range(0..of_part.len().max(1));
            of_part.rotate_left(first);
            records.extend(of_part.iter().map(|m| (*m).clone()));
        }
        records
    }

    // ---- time ---------------------------------------------------------------------------------------

    fn listen(&self, now: Duration) {
        self.ears.now.set(now);
        self.ears.window.set(pace::suspicion(self.size()) * self.health.stretch());
    }

    /// A process that was stopped has waited for nobody meanwhile.
    fn forgive(&mut self, now: Duration) {
        let Some(late) = self.timers.forgive(now, pace::LATE) else { return };
        self.health.worse();
        self.counts.late += 1;
        self.tell(Event::Late(late));
    }

    fn elapsed(&mut self, now: Duration, what: What) {
        if let Standing::Quiet { until, above } = self.standing {
            if now < until {
                self.timers.set(until, what);
                return;
            }
            self.standing = Standing::Present;
            self.go_above(now, above);
        }
        match what {
            What::Swim(timer) => {
                if matches!(timer, Timer::ProbeRandomMember(_)) && !std::mem::take(&mut self.probe_failed) {
                    self.health.better();
                }
                if let Timer::ChangeSuspectToDown { member_id: who, .. } | Timer::RemoveDown(who) = &timer {
                    self.ears.named.borrow_mut().add(who.number);
                }
                self.swim(now, |swim, wants| swim.handle_timer(timer, wants));
            }
            What::Seek => self.seek(now),
            What::Sync => {
                self.timers.set(now + pace::SYNC_EVERY, What::Sync);
                self.ask();
            }
            What::SyncSoon => {
                self.asks_soon = false;
                self.ask();
            }
            What::Look => {
                self.timers.set(now + pace::PERIOD, What::Look);
                let proved = self.ears.proved();
                if !proved.is_empty() {
                    proved.iter().for_each(|said| self.ears.named.borrow_mut().add(said.id().number));
                    self.swim(now, |swim, wants| swim.apply_many(proved.into_iter(), true, wants));
                }
            }
        }
    }

    /// Looks for some who are not there.
    fn seek(&mut self, now: Duration) {
        let alone = self.present() == 0;
        let pause = if alone { pace::SEEK_EVERY_ALONE } else { pace::SEEK_EVERY };
        self.timers.set(now + pause, What::Seek);
        if self.size() == self.named() {
            return;
        }
        let me = self.me().number;
        let configured = self.peers.iter().zip(0..).map(|(address, n)| (Number(n), *address));
        let never_met = configured.filter(|(n, _)| *n != me && self.table.get(*n).is_none());
        let never_met = never_met.map(|(number, address)| Identity::unknown(number, address));
        let gone = self.table.lines().filter(|e| e.state == State::Gone).map(|e| e.identity.clone());
        let absent = never_met.chain(gone).sample(&mut self.random, pace::SEEK_AT_ONCE);
        for identity in absent {
            self.swim(now, |swim, wants| swim.announce(identity, wants));
        }
    }

    /// Compares views with one other member.
    fn ask(&mut self) {
        if let Some(whom) = self.anybody() {
            let sums = self.summary().sums();
            self.say(whom, &Talk::Ask { sums, back: false });
        }
    }

    /// Where somebody who is there is reached.
    fn anybody(&mut self) -> Option<SocketAddr> {
        let there = |e: &&Entry| e.state != State::Gone;
        let highest = self.table.highest()?;
        for _ in 0..TRIES {
            let number = Number(self.random.random_range(0..=highest.0));
            if let Some(found) = self.table.get(number).filter(there) {
                return Some(found.identity.address);
            }
        }
        // Few are there, or their numbers lie far apart.
        self.table.lines().filter(there).map(|e| e.identity.address).choose(&mut self.random)
    }

    // ---- lives --------------------------------------------------------------------------------------

    /// The fleet knows this number in a higher life.
    fn met_higher(&mut self, now: Duration, life: Life) {
        if now.saturating_sub(self.started) < pace::OWN_START {
            self.go_above(now, life);
        } else {
            self.standing = Standing::Quiet { until: now + pace::YIELD_FOR, above: life };
            self.tell(Event::Yielded { to: life });
        }
    }

    fn go_above(&mut self, now: Duration, known: Life) {
        let Some(life) = known.max(self.me().life).above() else { return };
        let me = Identity { life, turn: 0, ..self.me().clone() };
        self.swim(now, |swim, wants| swim.change_identity(me, wants));
        self.tell(Event::WentAbove { known, life });
    }

    // ---- within -------------------------------------------------------------------------------------

    /// Lets the membership protocol do something and carries out what it wants.
    fn swim(
        &mut self,
        now: Duration,
        act: impl FnOnce(
            &mut Foca<Identity, Words, SmallRng, foca::NoCustomBroadcast>,
            &mut Wants,
        ) -> Result<(), foca::Error>,
    ) {
        let mut wants = Wants::default();
        // Its errors are packets that make no sense to it; what it wanted until then holds.
        let _ = act(&mut self.swim, &mut wants);
        for (to, data) in wants.sends {
            self.send(to.address, seal(Room::Swim, &data));
        }
        for (timer, after) in wants.timers {
            let after = match timer {
                Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => {
                    after * self.health.stretch()
                }
                Timer::ChangeSuspectToDown { ref member_id, .. } => {
                    self.ears.named.borrow_mut().add(member_id.number);
                    let patience = pace::suspicion(self.size()) * self.health.stretch();
                    self.probe_failed = true;
                    self.health.worse();
                    patience
                }
                _ => after,
            };
            self.timers.set(now + after, What::Swim(timer));
        }
        if wants.called_gone {
            self.tell(Event::CalledGone);
        }
    }

    fn say(&mut self, to: SocketAddr, talk: &Talk) {
        if let Some(body) = encode(talk) {
            self.send(to, seal(Room::Talk, &body));
        }
    }

    fn send(&mut self, to: SocketAddr, packet: Vec<u8>) {
        if self.packets.len() == PACKETS_MOST {
            self.packets.pop_front();
            self.counts.overflowed += 1;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += packet.len() as u64;
        self.packets.push_back((to, packet));
    }

    fn tell(&mut self, event: Event) {
        if self.events.len() == EVENTS_MOST {
            self.events.pop_front();
            self.counts.overflowed += 1;
        }
        self.events.push_back(event);
    }

    /// Brings the table up to what the membership protocol holds, and tells what has changed.
    fn refresh(&mut self, now: Duration) {
        let named = self.ears.named.take();
        if named.is_none() {
            return;
        }
        let me = self.me().number;
        let mut own_higher = None;
        let mut changes = Vec::new();
        for member in self.swim.iter_membership_state().filter(|m| named.holds(m.id().number)) {
            let identity = member.id();
            if identity.number == me {
                own_higher = identity.win_addr_conflict(self.me()).then_some(identity.life);
                continue;
            }
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down => State::Gone,
            };
            let before = self.table.get(identity.number);
            if before.is_some_and(|e| e.state == state && &e.identity == identity) {
                continue;
            }
            if let Some(change) = change(before, identity, state) {
                changes.push((change, identity.clone()));
            }
            let since = match before {
                Some(e) if e.state == state && e.identity.life == identity.life => e.since,
                _ => now,
            };
            self.table.set(Entry { identity: identity.clone(), state, since });
        }
        // By number, so that equal histories tell equal stories.
        changes.sort_by_key(|(_, identity)| identity.number);
        changes.into_iter().for_each(|(change, identity)| self.tell(Event::Member(change, identity)));
        if let Some(life) = own_higher {
            self.met_higher(now, life);
        }
    }

    fn look(&mut self, now: Duration) {
        let sure = self.is_sure(now);
        if sure != self.was_sure {
            self.was_sure = sure;
            self.tell(Event::Sure(sure));
        }
    }
}

/// What a step from one line of the table to the next means to people.
fn change(before: Option<&Entry>, identity: &Identity, state: State) -> Option<Change> {
    let Some(before) = before else {
        // Somebody who is known as gone from the first was never there for this view.
        return (state != State::Gone).then_some(Change::Joined);
    };
    match (before.state, state) {
        (State::Gone, State::Alive | State::Suspect) => Some(Change::Back),
        (State::Alive | State::Suspect, State::Gone) => Some(Change::Gone),
        (State::Alive | State::Suspect, _) if identity.life > before.identity.life => Some(Change::NewLife),
        (State::Alive, State::Suspect) => Some(Change::Suspected),
        (State::Suspect, State::Alive) => Some(Change::Cleared),
        _ => None,
    }
}

fn settings() -> foca::Config {
    let of = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    foca::Config {
        probe_period: pace::PERIOD,
        probe_rtt: pace::ANSWER_WAIT,
        num_indirect_probes: of(pace::HELPERS),
        max_transmissions: NonZeroU8::new(pace::GOSSIP_TIMES).unwrap_or(NonZeroU8::MIN),
        // The view sets this one by the size of the fleet and its own health, see `swim`.
        suspect_to_down_after: pace::suspicion(0),
        // A number's last life is never forgotten, or a packet from it could bring it back; numbers are bounded.
        remove_down_after: None,
        max_packet_size: of(BODY_MOST),
        notify_down_members: true,
        periodic_announce: None,
        // The view seeks whoever is not there by itself, also when it is alone.
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams {
            frequency: pace::GOSSIP_EVERY,
            num_members: of(pace::GOSSIP_TO),
        }),
    }
}
