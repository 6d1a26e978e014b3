//! Distribution of settings with lost, duplicated, reordered and stale answers.

use std::sync::LazyLock;

use lagoongauge::distribute::{
    CONFIRMATION_WAIT, HISTORY_VERSIONS, Offer, Outcome, Receiver, Source, TableVersion,
};
use lagoongauge::id::{CentreId, HostId};
use lagoongauge::settings::{Host, Resolved};
use lagoongauge::time::{Instant, Span};
use proptest::prelude::*;

const START: Instant = Instant(1000);

/// Sources at each of the versions 1 to 40.
static SOURCES: LazyLock<Vec<Source>> =
    LazyLock::new(|| (1..=40).map(|last| source(1..=last)).collect());

fn settings(version: u64) -> Resolved {
    let mut resolved = Resolved { version, ..Resolved::default() };
    for id in 0..=(version % 5) as u32 {
        let peer = format!("127.0.0.1:{}", 7000 + version * u64::from(id) % 100).parse().unwrap();
        let host = Host { centre: CentreId(0), group: version as u16, peer };
        resolved.hosts.insert(HostId(id), host);
    }
    resolved
}

fn source(versions: std::ops::RangeInclusive<u64>) -> Source {
    let mut source = Source::default();
    for version in versions {
        source.publish(&settings(version));
    }
    source
}

fn offer(source: &Source, receiver: &Receiver, current: bool) -> Offer {
    let update = source.update(receiver.table_version());
    Offer { version: source.version(), current, update }
}

#[test]
fn a_delta_carries_only_what_changed() {
    let mut newest = settings(5);
    let mut source = Source::default();
    source.publish(&newest);
    let mut receiver = Receiver::new(START);
    receiver.handle_offer(START, START, &offer(&source, &receiver, true));
    newest.version = 6;
    newest.hosts.swap_remove(&HostId(0));
    source.publish(&newest);
    let update = source.update(receiver.table_version()).unwrap();
    assert_eq!((update.base, update.items.len()), (Some(5), 1));
    let outcome = receiver.handle_offer(START, START, &offer(&source, &receiver, true));
    assert_eq!(outcome, Outcome::Applied);
    assert_eq!(receiver.resolved().unwrap().unwrap().hosts.len(), newest.hosts.len());
}

#[test]
fn an_outdated_or_foreign_table_gets_a_full_copy() {
    let source = source(1..=HISTORY_VERSIONS as u64 + 10);
    for version in [5, HISTORY_VERSIONS as u64] {
        let known = TableVersion { version, digest: lagoongauge::distribute::Digest(1) };
        assert_eq!(source.update(Some(known)).unwrap().base, None);
    }
}

#[test]
fn a_host_without_a_table_waits_for_a_confirmed_version() {
    let (stale, fresh) = (source(1..=3), source(1..=7));
    let mut receiver = Receiver::new(START);
    let held = offer(&stale, &receiver, false);
    assert_eq!(receiver.handle_offer(START, START, &held), Outcome::Held);
    assert_eq!(receiver.status(START).version, 0);
    let confirmed = offer(&fresh, &receiver, true);
    assert_eq!(receiver.handle_offer(START, START, &confirmed), Outcome::Applied);
    assert_eq!(receiver.handle_offer(START, START, &held), Outcome::Stale);
    assert_eq!(receiver.version(), 7);
}

#[test]
fn without_a_quorum_the_latest_held_version_is_applied() {
    let mut receiver = Receiver::new(START);
    for versions in [1..=4, 1..=3] {
        let held = offer(&source(versions), &receiver, false);
        receiver.handle_offer(START, START, &held);
    }
    let late = START + CONFIRMATION_WAIT;
    assert_eq!(receiver.tick(late), Outcome::Applied);
    let status = receiver.status(late + Span::seconds(5));
    assert_eq!((status.version, status.unconfirmed), (4, CONFIRMATION_WAIT + Span::seconds(5)));
}

#[test]
fn status_reports_the_time_since_the_last_confirmation() {
    let source = source(1..=3);
    let mut receiver = Receiver::new(START);
    receiver.handle_offer(START, START, &offer(&source, &receiver, true));
    let later = START + Span::seconds(60);
    receiver.handle_offer(later, later, &offer(&source, &receiver, false));
    assert_eq!(receiver.status(later).unconfirmed, Span::seconds(60));
    receiver.handle_offer(later, later, &offer(&source, &receiver, true));
    assert_eq!(receiver.status(later).unconfirmed, Span::default());
}

proptest! {
    /// Offers of control hosts at any version arrive late, twice and out of order.
    #[test]
    fn a_receiver_never_goes_back_and_converges(
        steps in prop::collection::vec((1u64..40, any::<bool>(), 0usize..8), 1..80),
    ) {
        let mut receiver = Receiver::new(START);
        let mut sent = Vec::new();
        let mut last = 0;
        for (version, current, back) in steps {
            sent.push(offer(&SOURCES[version as usize - 1], &receiver, current));
            let chosen = sent[sent.len().saturating_sub(back + 1)].clone();
            receiver.handle_offer(START, START, &chosen);
            prop_assert!(receiver.version() >= last);
            last = receiver.version();
            if last > 0 {
                prop_assert_eq!(receiver.resolved().unwrap().unwrap(), settings(last));
            }
        }
        for _ in 0..2 {
            let newest = offer(&SOURCES[39], &receiver, true);
            receiver.handle_offer(START, START, &newest);
        }
        prop_assert_eq!(receiver.resolved().unwrap().unwrap(), settings(40));
    }

    #[test]
    fn decoded_updates_are_within_the_limits(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        if let Ok(update) = lagoongauge::distribute::Update::decode(&bytes) {
            prop_assert!(update.check().is_ok());
        }
    }
}
