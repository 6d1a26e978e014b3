//! A burst of uploads through a host's limited link, and what is left of it afterwards.

use std::collections::VecDeque;

use lagoongauge::mark::flow::held::HeldPackets;
use lagoongauge::mark::{Cause, Features, FlowKey, Mark, Segment, SegmentKind, Verdict};
use lagoongauge::time::{Instant, Span};

use crate::world::{Fixture, OTHER_FRONTEND, bulk_catalog, segment, target_of};

/// Bytes that the host's link carries in a millisecond.
const LINK_BYTES_PER_MS: usize = 600;

/// Bytes of a packet without data, and of a full one, on the link.
const HEADER_BYTES: usize = 59;
const PACKET_BYTES: usize = 1200 + HEADER_BYTES;

/// Packets of an upload.
const PACKETS: usize = 34;

/// Packets that an upload has under way at most.
const WINDOW: usize = 16;

/// Time in milliseconds from a packet's arrival at the host until its caller has the
/// acknowledgement.
const ACKNOWLEDGEMENT_MS: u64 = 8;

/// Time in milliseconds after which a caller repeats a packet the first time.
const REPEAT_MS: u64 = 200;

/// Interval in milliseconds at which held packets are decided on again.
const RELEASE_INTERVAL_MS: u64 = 10;

/// Tries of a refused caller after its first one, and the delay in milliseconds before each.
const MAX_RETRIES: u8 = 2;
const RETRY_DELAY_MS: u64 = 50;

/// Number of the first upload's port.
const FIRST_PORT: u16 = 10;

/// Number of targets, so many that the link is the only limit.
const TARGETS: u64 = 100;

/// Time in milliseconds for which a caller waits for its upload.
const BUDGET_MS: u64 = 6000;

/// Time in milliseconds within which callers want an upload to be done.
const OBJECTIVE_MS: u64 = 1200;

/// An upload as its caller sees it.
#[derive(Debug)]
struct Upload {
    number: u16,
    began_at: u64,
    /// Next SYN, with the number of copies before it, until the flow is open.
    next_syn: Option<(u64, u32)>,
    mark: Option<Mark>,
    /// When each packet is due, or `None` once it is acknowledged.
    due_at: [Option<(u64, u64)>; PACKETS],
    /// Tries at other ports that its caller has left if it is refused.
    retries: u8,
    refused: bool,
    done_at: Option<u64>,
}

/// What a packet carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    /// A SYN, with the number of copies before it.
    Syn(u32),
    /// Data, by its index.
    Data(usize),
}

/// A packet on the link: an upload's number, and what it carries.
type Packet = (usize, Content);

/// Callers, the host's link and the host.
struct Replay {
    host: Fixture,
    time: u64,
    uploads: Vec<Upload>,
    link: VecDeque<Packet>,
    /// Bytes that the link may still carry in this millisecond.
    credit: usize,
    /// SYNs that wait at the host, each with the number of its upload.
    held: HeldPackets,
    acknowledgements: VecDeque<(u64, Packet, Mark)>,
}

impl Upload {
    fn new(number: u16, now: u64) -> Self {
        Self {
            number,
            began_at: now,
            next_syn: Some((now, 0)),
            mark: None,
            due_at: [Some((now, REPEAT_MS)); PACKETS],
            retries: MAX_RETRIES,
            refused: false,
            done_at: None,
        }
    }

    /// Returns the next try of its caller, at another port.
    fn retry(&self, number: u16, now: u64) -> Self {
        Self { began_at: self.began_at, retries: self.retries - 1, ..Self::new(number, now) }
    }

    fn is_active(&self, now: u64) -> bool {
        !self.refused && self.done_at.is_none() && now < self.began_at + BUDGET_MS
    }

    /// Returns whether its caller had to wait for longer than it wants to.
    fn is_late(&self) -> bool {
        self.done_at.is_none_or(|done_at| done_at > self.began_at + OBJECTIVE_MS)
    }

    /// Adds the packets that its caller sends now.
    fn send(&mut self, now: u64, index: usize, link: &mut VecDeque<Packet>) {
        if let Some((due_at, copies)) = self.next_syn {
            if due_at <= now && copies < 3 {
                link.push_back((index, Content::Syn(copies)));
                self.next_syn = Some((now + [200, 400, 800][copies as usize], copies + 1));
            }
            return;
        }
        let open = (0..PACKETS).filter(|packet| self.due_at[*packet].is_some());
        for packet in open.take(WINDOW).collect::<Vec<_>>() {
            let Some((due_at, interval)) = self.due_at[packet] else { continue };
            if due_at <= now {
                link.push_back((index, Content::Data(packet)));
                self.due_at[packet] = Some((now + interval, (2 * interval).min(1600)));
            }
        }
    }

    fn segment(&self, content: Content) -> Segment {
        let (plain, acknowledged) = match content {
            Content::Syn(copies) => (segment(self.number, SegmentKind::Syn, 0, 0), copies),
            Content::Data(packet) => {
                (segment(self.number, SegmentKind::Data, 1200 * packet as u32, 1200), 5001)
            }
        };
        let flow_key = FlowKey { frontend: OTHER_FRONTEND, ..plain.flow_key };
        Segment { flow_key, mark: self.mark, acknowledged, ..plain }
    }
}

impl Replay {
    fn new(features: Features) -> Self {
        let targets: Vec<u64> = (1..=TARGETS).collect();
        let mut host = Fixture::with_features(&targets, features);
        host.router.set_catalog(&bulk_catalog(2));
        let (link, acknowledgements) = (VecDeque::new(), VecDeque::new());
        let held = HeldPackets::default();
        Self { host, time: 0, uploads: Vec::new(), link, credit: 0, held, acknowledgements }
    }

    /// Runs for some time in which a new upload begins every `interval` milliseconds.
    fn run(&mut self, millis: u64, interval: u64) {
        for step in 0..millis {
            if step.is_multiple_of(interval) {
                let number = FIRST_PORT + self.uploads.len() as u16;
                self.uploads.push(Upload::new(number, self.time));
            }
            self.step();
        }
    }

    fn step(&mut self) {
        for (index, upload) in self.uploads.iter_mut().enumerate() {
            if upload.is_active(self.time) {
                upload.send(self.time, index, &mut self.link);
            }
        }
        self.credit = (self.credit + LINK_BYTES_PER_MS).min(PACKET_BYTES + LINK_BYTES_PER_MS);
        while let Some(packet) = self.link.front().copied() {
            let size = match packet.1 {
                Content::Syn(_) => HEADER_BYTES,
                Content::Data(_) => PACKET_BYTES,
            };
            let Some(left) = self.credit.checked_sub(size) else { break };
            self.credit = left;
            self.link.pop_front();
            self.deliver(packet, self.host.now);
        }
        if self.time.is_multiple_of(RELEASE_INTERVAL_MS) {
            self.release_held();
        }
        while let Some((due_at, packet, mark)) = self.acknowledgements.front().copied() {
            if due_at > self.time {
                break;
            }
            self.acknowledgements.pop_front();
            self.acknowledge(packet, mark);
        }
        self.time += 1;
        self.host.now = self.host.now + Span(1);
        if self.time.is_multiple_of(200) {
            self.host.tick();
        }
    }

    /// Lets the host decide again on the packets that it holds.
    fn release_held(&mut self) {
        for held in self.held.take(self.host.now).packets.into_iter().rev() {
            let index = usize::from_le_bytes(held.bytes.as_slice().try_into().unwrap());
            if self.uploads[index].next_syn.is_some() && self.uploads[index].is_active(self.time) {
                self.deliver((index, Content::Syn(held.segment.acknowledged)), held.arrived);
            }
        }
    }

    /// Lets the host decide on a packet that arrived at `arrived`.
    fn deliver(&mut self, packet: Packet, arrived: Instant) {
        let upload = &mut self.uploads[packet.0];
        let segment = upload.segment(packet.1);
        match self.host.router.decide_held(self.host.now, arrived, &segment) {
            Verdict::Forward { mark, .. } => {
                let due_at = self.time + ACKNOWLEDGEMENT_MS;
                self.acknowledgements.push_back((due_at, packet, mark));
            }
            Verdict::Hold => {
                self.held.hold(arrived, &segment, &packet.0.to_le_bytes());
            }
            Verdict::Reset(cause) => {
                assert_eq!((cause, upload.mark), (Cause::LinkFull, None), "nothing was sent");
                upload.refused = true;
                if upload.retries > 0 {
                    self.retry(packet.0);
                }
            }
            Verdict::Drop(_) => {}
        }
    }

    fn retry(&mut self, index: usize) {
        let number = FIRST_PORT + self.uploads.len() as u16;
        let retry = self.uploads[index].retry(number, self.time + RETRY_DELAY_MS);
        self.uploads.push(retry);
    }

    fn acknowledge(&mut self, (index, content): Packet, mark: Mark) {
        let upload = &mut self.uploads[index];
        if !upload.is_active(self.time) {
            return;
        }
        let Content::Data(packet) = content else {
            upload.next_syn = None;
            upload.mark = Some(mark);
            return;
        };
        upload.due_at[packet] = None;
        if upload.due_at.iter().all(Option::is_none) {
            upload.done_at = Some(self.time);
            let fin = Segment { kind: SegmentKind::Fin, length: 0, ..upload.segment(content) };
            target_of(self.host.router.decide(self.host.now, &fin));
        }
    }

    /// Returns how many of the uploads that began within `span` were late or refused for good, and
    /// how many there were.
    fn count_missed(&self, span: std::ops::Range<u64>) -> (usize, usize) {
        let last_try = |upload: &&Upload| !upload.refused || upload.retries == 0;
        let begun = self.uploads.iter().filter(|upload| span.contains(&upload.began_at));
        let begun = begun.filter(last_try);
        let missed = begun.clone().filter(|upload| upload.is_late()).count();
        (missed, begun.count())
    }
}

/// Uploads at six times the usual rate for four seconds, then at the usual rate.
fn replay_burst(features: Features) -> Replay {
    replay_crowd(features, 45)
}

/// A new upload every `interval` milliseconds for four seconds, then at the usual rate.
fn replay_crowd(features: Features, interval: u64) -> Replay {
    let mut replay = Replay::new(features);
    replay.run(1000, 250);
    replay.run(4000, interval);
    replay.run(8000, 250);
    replay
}

#[test]
fn uploads_are_served_as_before_soon_after_a_burst() {
    let limited = Features { link_rate: Some(600_000), ..Features::default() };
    let replay = replay_burst(limited);
    assert_eq!(replay.count_missed(0..1000).0, 0, "before the burst");
    let (missed, begun) = replay.count_missed(1000..5000);
    assert!(missed * 3 <= begun * 2, "{missed} of {begun} missed in the burst");
    assert_eq!(replay.count_missed(6000..11_000).0, 0, "after the burst");
}

/// Shows that the replay holds the load that the bound answers.
#[test]
fn without_a_bound_repeats_keep_the_link_full_after_a_burst() {
    let replay = replay_burst(Features::default());
    let (missed, begun) = replay.count_missed(6000..8000);
    assert!(missed * 2 >= begun, "{missed} of {begun} missed a second after the burst");
}

/// Callers who are refused come back at another port, and those whose SYN waits send copies of it.
#[test]
fn copies_of_syns_don_t_keep_the_link_full_after_a_crowd() {
    for interval in [10, 15, 20, 30] {
        let limited = Features { link_rate: Some(600_000), ..Features::default() };
        let replay = replay_crowd(limited, interval);
        let after = replay.count_missed(5200..11_000);
        assert_eq!(after.0, 0, "after an upload every {interval} ms");
    }
}
