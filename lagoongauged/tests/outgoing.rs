//! Acknowledgements of messages between control hosts, over lost connections.

use lagoongauge::id::TargetId;
use lagoongauged::cluster::message::PeerMessage;
use lagoongauged::cluster::outgoing::Outgoing;

fn targets() -> PeerMessage {
    PeerMessage::Targets(Vec::new())
}

fn state() -> [PeerMessage; 2] {
    [PeerMessage::Hosts { controls: Vec::new(), entry_hosts: Vec::new() }, targets()]
}

/// Creates a queue with a connection whose state was received.
fn connected() -> Outgoing {
    let mut outgoing = Outgoing::default();
    outgoing.begin_connection(state());
    send_all(&mut outgoing);
    outgoing.handle_ack(2);
    outgoing
}

fn send_all(outgoing: &mut Outgoing) -> usize {
    std::iter::from_fn(|| outgoing.pop()).count()
}

#[test]
fn a_message_is_acknowledged_once_the_receiver_has_counted_it() {
    let mut outgoing = connected();
    let (first, second) = (outgoing.push(targets()), outgoing.push(targets()));
    send_all(&mut outgoing);
    assert!(!outgoing.is_acknowledged(first));
    outgoing.handle_ack(3);
    assert!(outgoing.is_acknowledged(first));
    assert!(!outgoing.is_acknowledged(second));
    outgoing.handle_ack(4);
    assert!(outgoing.is_acknowledged(second));
}

/// The first messages of the next connection say nothing of it.
#[test]
fn a_message_lost_with_its_connection_is_acknowledged_by_the_next_state() {
    let mut outgoing = connected();
    let lost = outgoing.push(targets());
    send_all(&mut outgoing);
    outgoing.end_connection();
    let queued = outgoing.push(targets());
    outgoing.begin_connection(state());
    send_all(&mut outgoing);
    for received in 1..3 {
        outgoing.handle_ack(received);
        assert!(!outgoing.is_acknowledged(lost), "{received} messages of the connection arrived");
    }
    outgoing.handle_ack(3);
    assert!(outgoing.is_acknowledged(lost));
    assert!(outgoing.is_acknowledged(queued));
}

/// The state holds no target that this host does not know.
#[test]
fn the_end_of_an_unknown_target_is_not_acknowledged_after_its_connection() {
    for sent in [true, false] {
        let mut outgoing = connected();
        let left = outgoing.push(PeerMessage::TargetLeft(TargetId(7)));
        if sent {
            send_all(&mut outgoing);
        }
        outgoing.end_connection();
        outgoing.begin_connection(state());
        let later = outgoing.push(targets());
        send_all(&mut outgoing);
        outgoing.handle_ack(3);
        assert!(outgoing.is_acknowledged(later));
        assert!(!outgoing.is_acknowledged(left));
    }
}

#[test]
fn a_message_dropped_from_a_full_queue_is_not_acknowledged() {
    let mut outgoing = connected();
    let dropped = outgoing.push(targets());
    let last = (0..600).map(|_| outgoing.push(targets())).last().unwrap();
    let sent = send_all(&mut outgoing) as u64;
    outgoing.handle_ack(2 + sent);
    assert!(outgoing.is_acknowledged(last));
    assert!(!outgoing.is_acknowledged(dropped));
}
