//! Tests of the fault schedule.

use std::collections::BTreeSet;

use lagoon_soak::judge::{APPLY_DEADLINE, STABILIZATION_TIME};
use lagoon_soak::plan::{Fault, ScheduledFault, draw_faults};

/// Duration of a run in milliseconds.
const DURATION: u64 = 60_000;

fn kind_name(fault: &ScheduledFault) -> String {
    let text = match fault.fault {
        Fault::Entry(_, kind) => format!("entry {kind:?}"),
        Fault::Control(_, kind) => format!("control {kind:?}"),
        Fault::Disk(_, kind) => format!("disk {kind:?}"),
        Fault::Link(link, kind) => format!("link of entry {} {kind:?}", link.entry),
        Fault::AllControls(_) => "all".into(),
        Fault::AllControlsAndDisk(..) => "all and disk".into(),
        Fault::Datagrams(_) => "datagrams".into(),
        Fault::Target => "target".into(),
    };
    text.split('(').next().unwrap_or_default().into()
}

#[test]
fn same_seed_draws_same_faults() {
    assert_eq!(draw_faults(7, DURATION, 5, 3), draw_faults(7, DURATION, 5, 3));
    assert_ne!(draw_faults(7, DURATION, 5, 3), draw_faults(8, DURATION, 5, 3));
}

#[test]
fn fifty_seeds_draw_every_kind_of_fault() {
    let names: BTreeSet<String> = (0..50)
        .flat_map(|seed| draw_faults(seed, DURATION, 5, 3))
        .map(|fault| kind_name(&fault))
        .collect();
    let kinds = ["Kill", "Stop", "Pause", "Reload"];
    let links = ["Cut", "CutThere", "CutBack", "Delay", "Reset", "Silence"];
    let entries = kinds.map(|kind| format!("entry {kind}"));
    let controls = kinds.map(|kind| format!("control {kind}"));
    let disks = ["Wipe", "Leave", "Die"].map(|kind| format!("disk {kind}"));
    let entry_links = links.map(|kind| format!("link of entry true {kind}"));
    let control_links = links.map(|kind| format!("link of entry false {kind}"));
    let others = ["all", "all and disk", "datagrams", "target"].map(String::from);
    let all = entries
        .into_iter()
        .chain(controls)
        .chain(disks)
        .chain(entry_links)
        .chain(control_links)
        .chain(others);
    assert_eq!(names, all.collect());
}

/// Without fault-free periods time bounds would never be checked; without overlap no two faults
/// would be active at once.
#[test]
fn faults_overlap_within_waves_with_stable_periods_between() {
    let mut overlaps = 0;
    let mut stable_periods = 0;
    for seed in 0..50 {
        let faults = draw_faults(seed, DURATION, 5, 3);
        for pair in faults.windows(2) {
            let gap = pair[1].at - pair[0].at;
            overlaps += u32::from(gap < 1000);
            stable_periods += u32::from(gap > STABILIZATION_TIME + APPLY_DEADLINE);
        }
        assert!(faults.iter().all(|fault| fault.at < DURATION));
    }
    assert!(
        overlaps > 100 && stable_periods > 50,
        "{overlaps} overlaps, {stable_periods} stable periods"
    );
}
