//! Encoded batches of changed targets, which all feeds share.
//!
//! Load pattern: when a fleet starts at once, every entry host asks for the same roster, and later
//! every change goes to all of them. A batch is encoded once for all feeds that have the same
//! revision.

use std::collections::VecDeque;
use std::io::Result;
use std::rc::Rc;

use lagoongauge::roster::{Entry, Roster};

use super::compressed::CompressedTargets;
use super::message::FeedMessage;
use crate::frame;

/// Number of batches that are kept; feeds that lag further have their batch encoded anew.
const MAX_BATCHES: usize = 8;

/// Number of changes by which a kept batch may be out of date; the feed sends those right after it.
const MAX_LAG: u64 = 64;

/// Number of targets from which on a batch is compressed.
const MIN_COMPRESSED: usize = 16;

/// Targets that changed between two revisions, as a frame.
#[derive(Debug, Clone)]
pub struct TargetBatch {
    since: u64,
    /// Revision after which further changes have to be sent.
    pub until: u64,
    /// The frame; empty if no target changed.
    pub frame: Rc<[u8]>,
}

/// The latest batches.
#[derive(Debug, Default)]
pub struct TargetBatches {
    batches: VecDeque<TargetBatch>,
}

impl TargetBatches {
    /// Returns a batch of the changes after a revision, or `None` if there are none.
    ///
    /// A kept batch may end before the current revision; the caller asks again from its end.
    pub fn batch_since(&mut self, roster: &Roster, since: u64) -> Result<Option<TargetBatch>> {
        let current = roster.revision();
        if since >= current {
            return Ok(None);
        }
        let is_usable =
            |batch: &&TargetBatch| batch.since == since && current - batch.until <= MAX_LAG;
        if let Some(batch) = self.batches.iter().find(is_usable) {
            return Ok(Some(batch.clone()));
        }
        let changed = roster.changed_since(since);
        let targets: Vec<_> = changed.map(|record| (record.entry.clone(), record.silent)).collect();
        let frame = encode(targets)?;
        let batch = TargetBatch { since, until: current, frame };
        self.batches.retain(|other| other.since != since);
        if self.batches.len() == MAX_BATCHES {
            self.batches.pop_front();
        }
        self.batches.push_back(batch.clone());
        Ok(Some(batch))
    }
}

fn encode(targets: Vec<(Entry, bool)>) -> Result<Rc<[u8]>> {
    let message = match targets.len() {
        0 => return Ok(Rc::default()),
        1..MIN_COMPRESSED => FeedMessage::Targets(targets),
        _ => FeedMessage::CompressedTargets(CompressedTargets::compress(&targets)?),
    };
    Ok(frame::encode(&message)?.into())
}
