//! The faults of a run.

use std::collections::BTreeSet;

use lagoon_soak::judge::{APPLY, WINDOW};
use lagoon_soak::plan::{Fault, Step, draw};

/// Length of the runs in milliseconds.
const SPAN: u64 = 60_000;

fn name(step: &Step) -> String {
    let text = match step.fault {
        Fault::Entry(_, kind) => format!("entry {kind:?}"),
        Fault::Control(_, kind) => format!("control {kind:?}"),
        Fault::Disk(_, kind) => format!("disk {kind:?}"),
        Fault::Link(link, kind) => format!("link of entry {} {kind:?}", link.entry),
        Fault::AllControls(_) => "all".into(),
        Fault::Datagrams(_) => "datagrams".into(),
        Fault::Target => "target".into(),
    };
    text.split('(').next().unwrap_or_default().into()
}

#[test]
fn a_seed_draws_the_same_faults_again() {
    assert_eq!(draw(7, SPAN, 5, 3), draw(7, SPAN, 5, 3));
    assert_ne!(draw(7, SPAN, 5, 3), draw(8, SPAN, 5, 3));
}

#[test]
fn fifty_seeds_draw_every_kind_of_fault() {
    let names: BTreeSet<String> =
        (0..50).flat_map(|seed| draw(seed, SPAN, 5, 3)).map(|step| name(&step)).collect();
    let kinds = ["Kill", "Stop", "Pause", "Reload"];
    let links = ["Cut", "CutThere", "CutBack", "Delay", "Reset", "Silence"];
    let entries = kinds.map(|kind| format!("entry {kind}"));
    let controls = kinds.map(|kind| format!("control {kind}"));
    let disks = ["Wipe", "Leave", "Die"].map(|kind| format!("disk {kind}"));
    let near = links.map(|kind| format!("link of entry true {kind}"));
    let far = links.map(|kind| format!("link of entry false {kind}"));
    let others = ["all", "datagrams", "target"].map(String::from);
    let all = entries.into_iter().chain(controls).chain(disks).chain(near).chain(far).chain(others);
    assert_eq!(names, all.collect());
}

/// Without a calm time after them the bounds would never be judged; without overlap the faults
/// would never meet.
#[test]
fn faults_overlap_in_waves_with_calm_between_them() {
    let mut overlaps = 0;
    let mut calms = 0;
    for seed in 0..50 {
        let steps = draw(seed, SPAN, 5, 3);
        for pair in steps.windows(2) {
            let gap = pair[1].at - pair[0].at;
            overlaps += u32::from(gap < 1000);
            calms += u32::from(gap > WINDOW + APPLY);
        }
        assert!(steps.iter().all(|step| step.at < SPAN));
    }
    assert!(overlaps > 100 && calms > 50, "{overlaps} overlaps, {calms} calm times");
}
