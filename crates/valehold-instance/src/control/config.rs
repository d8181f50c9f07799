//! The configuration in force: read from the store and from peers.

use std::sync::Arc;

use valehold_core::{
    Millis,
    config::{Config, Head, Revision},
};
use valehold_ports::{PortError, port::decode};

use super::{Context, Input};
use crate::revisions;

/// How often the head is read.
const READ_EVERY_MS: u64 = 1_000;

/// Follows the newest revision. The number in force only ever rises.
pub(super) struct ConfigWatch {
    revision: Option<Arc<Revision>>,
    config: Option<Arc<Config>>,
    read_at: Option<Millis>,
    reading_head: bool,
    reading_revision: bool,
}

impl ConfigWatch {
    pub(super) fn new() -> Self {
        Self {
            revision: None,
            config: None,
            read_at: None,
            reading_head: false,
            reading_revision: false,
        }
    }

    /// Returns the configuration in force, and its revision's number.
    pub(super) fn current(&self) -> Option<(&Arc<Config>, u64)> {
        let number = self.revision.as_ref()?.number;
        Some((self.config.as_ref()?, number))
    }

    /// Returns the revision's number; 0 without a configuration.
    pub(super) fn number(&self) -> u64 {
        self.revision.as_ref().map_or(0, |revision| revision.number)
    }

    /// Returns the revision in force if it is newer than `number`.
    pub(super) fn newer_than(&self, number: u64) -> Option<Revision> {
        let revision = self.revision.as_deref()?;
        (revision.number > number).then(|| revision.clone())
    }

    pub(super) fn tick(&mut self, context: &Context, now: Millis) {
        let due = self.read_at.is_none_or(|at| now.since(at) >= READ_EVERY_MS);
        if !due || self.reading_head {
            return;
        }
        self.read_at = Some(now);
        self.reading_head = true;
        let table = context.shared.ports.table.clone();
        context.start(async move {
            let row = table.get(revisions::HEAD_KEY).await;
            Input::Head(
                row.and_then(|row| row.as_ref().map(decode).transpose()),
            )
        });
    }

    pub(super) fn head_read(
        &mut self,
        context: &Context,
        head: Result<Option<Head>, PortError>,
    ) {
        self.reading_head = false;
        match head {
            Ok(Some(head)) if head.number > self.number() => {
                self.read_revision(context, head);
            }
            Ok(_) => {}
            Err(error) => log::warn!("the head was not read: {error}"),
        }
    }

    /// Asks a peer that has a newer revision for it.
    pub(super) fn peer_has(
        &mut self,
        context: &Context,
        newest: Option<super::peers::Newest>,
    ) {
        let Some(newest) = newest else { return };
        if newest.number <= self.number() || self.reading_revision {
            return;
        }
        self.reading_revision = true;
        let after = self.number();
        context.start(async move {
            Input::Revision(newest.ask(after).await.map(Box::new))
        });
    }

    /// Takes in a revision; returns whether it is now in force.
    pub(super) fn revision_read(
        &mut self,
        revision: Option<Box<Revision>>,
    ) -> bool {
        self.reading_revision = false;
        let Some(revision) = revision else { return false };
        if revision.number <= self.number() {
            return false;
        }
        match Config::try_from_files(&revision.files) {
            Ok(config) => {
                self.config = Some(Arc::new(config));
                self.revision = Some(Arc::from(revision));
                true
            }
            // Accepted revisions were checked; one that this build cannot
            // read was written by a newer build. The older one stays.
            Err(problems) => {
                let number = revision.number;
                log::error!("revision {number} cannot be used: {problems}");
                false
            }
        }
    }

    fn read_revision(&mut self, context: &Context, head: Head) {
        if self.reading_revision {
            return;
        }
        self.reading_revision = true;
        let objects = context.shared.ports.objects.clone();
        context.start(async move {
            let read = revisions::read(&*objects, &head).await;
            Input::Revision(match read {
                Ok(revision) => Some(Box::new(revision)),
                Err(error) => {
                    log::warn!("a revision was not read: {error}");
                    None
                }
            })
        });
    }
}
