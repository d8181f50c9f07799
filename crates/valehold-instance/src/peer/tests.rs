//! Messages across versions, and who may talk.

use std::net::SocketAddr;

use googletest::prelude::*;
use proptest::prelude::*;
use serde::Serialize;
use tokio::sync::mpsc;
use valehold_core::{config::Revision, id::InstanceId};

use super::{
    Answerer, Ask, Authority, HeartbeatReply, Link, MAX_MESSAGE_BYTES, Reply,
    decode, encode,
};
use crate::settings::PeerSettings;

fn reply() -> Reply {
    Reply::Heartbeat(HeartbeatReply {
        instance: InstanceId::new("i"),
        life: valehold_core::chart::library::InstanceState::Serving,
        revision: 7,
        grants: Vec::new(),
    })
}

#[gtest]
fn a_message_comes_back_as_it_was() {
    let bytes = encode(&reply()).unwrap();
    let read: Reply = decode(&bytes).unwrap();
    expect_that!(read, eq(&reply()));
}

#[gtest]
fn a_newer_writers_longer_message_is_read_as_far_as_it_is_known() {
    #[derive(Serialize)]
    struct Newer {
        version: u16,
        reply: Reply,
        added: u64,
    }
    let newer = Newer { version: 2, reply: reply(), added: 42 };
    let bytes = postcard::to_stdvec(&newer).unwrap();
    let read: Reply = decode(&bytes).unwrap();
    expect_that!(read, eq(&reply()));
}

#[gtest]
fn a_message_that_is_too_large_is_not_written() {
    let mut files = valehold_core::config::Files::new();
    files.insert("f", "a".repeat(MAX_MESSAGE_BYTES));
    let (label, by) = (String::new(), String::new());
    let revision = Revision { number: 1, label, by, files };
    expect_that!(encode(&Reply::Revision(Some(revision))).is_err(), eq(true));
}

proptest! {
    #[test]
    fn no_bytes_make_a_reader_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = decode::<Ask>(&bytes);
        let _ = decode::<Reply>(&bytes);
    }
}

fn link(authority: &Authority) -> (Link, mpsc::Receiver<Answerer>) {
    let keys = authority.issue().unwrap();
    let settings = PeerSettings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        authority: keys.authority,
        certificate: keys.certificate,
        key: keys.key,
    };
    let (answerers, asked) = mpsc::channel(1);
    (Link::open(&settings, answerers).unwrap(), asked)
}

#[gtest]
#[tokio::test]
async fn instances_of_one_authority_talk() {
    let authority = Authority::try_new().unwrap();
    let (left, _asked) = link(&authority);
    let (right, mut asked) = link(&authority);
    tokio::spawn(async move {
        let question = asked.recv().await.unwrap();
        question.reply.send(reply()).unwrap();
    });
    let at = right.address().unwrap();
    let answer = left.ask(at, &Ask::RevisionAfter(1)).await;
    expect_that!(answer.unwrap(), eq(&reply()));
}

#[gtest]
#[tokio::test]
async fn an_instance_of_another_authority_is_not_heard() {
    let (left, _asked) = link(&Authority::try_new().unwrap());
    let (right, mut asked) = link(&Authority::try_new().unwrap());
    let at = right.address().unwrap();
    let answer = left.ask(at, &Ask::RevisionAfter(1)).await;
    expect_that!(answer.is_err(), eq(true));
    expect_that!(asked.try_recv().is_err(), eq(true));
}

#[gtest]
fn an_authority_read_from_its_files_signs_for_its_certificate() {
    let authority = Authority::try_new().unwrap();
    let (certificate, key) = (authority.certificate(), authority.key());
    let again = Authority::from_pem(certificate, key).unwrap();
    expect_that!(again.issue().unwrap().authority, eq(certificate));
}
