//! `valehold keys`

use pico_args::Arguments;
use rand::{Rng, distr::Alphanumeric};
use serde_json::{Value, json};
use valehold_core::config::key_digest;
use valehold_instance::peer::Authority;

use super::{finish, format, helped};
use crate::{
    error::{FAILED, Failure},
    print::{print, text_of},
};

const HELP: &str = "\
Makes keys. Nothing is kept: note what is printed.

Usage: valehold keys new           a key for callers or operators, and the
                                   digest to declare
       valehold keys new --peers N [--authority FILE --authority-key FILE]
                                   certificates and keys of N instances, for
                                   their settings, signed by a new authority
                                   or the given one

  --format json        print JSON
";

/// How many characters a new key has.
const KEY_CHARACTERS: usize = 40;

pub fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if helped(&mut arguments, HELP, false) {
        return Ok(());
    }
    let format = format(&mut arguments)?;
    let peers: Option<usize> =
        arguments.opt_value_from_str("--peers").map_err(Failure::arguments)?;
    let authority = authority(&mut arguments)?;
    let what: String =
        arguments.free_from_str().map_err(Failure::arguments)?;
    finish(arguments)?;
    if what != "new" {
        let message = format!("keys takes `new`, not {what:?}");
        return Err(Failure::arguments(message));
    }
    match peers {
        None => print(format, &caller_key(), |value| {
            format!(
                "key = {}\ndigest = {}\n",
                text_of(value, "key"),
                text_of(value, "digest")
            )
        }),
        Some(count) => {
            let value = peer_keys(authority, count)?;
            print(format, &value, peer_text);
        }
    }
    Ok(())
}

fn authority(arguments: &mut Arguments) -> Result<Option<Authority>, Failure> {
    let read = |arguments: &mut Arguments, name| {
        let path: Option<String> =
            arguments.opt_value_from_str(name).map_err(Failure::arguments)?;
        let text = path.map(std::fs::read_to_string).transpose();
        text.map_err(Failure::from)
    };
    let certificate = read(arguments, "--authority")?;
    let key = read(arguments, "--authority-key")?;
    match (certificate, key) {
        (None, None) => Ok(None),
        (Some(certificate), Some(key)) => {
            let authority = Authority::from_pem(&certificate, &key);
            authority.map(Some).map_err(Failure::arguments)
        }
        _ => Err(Failure::arguments(
            "--authority and --authority-key go together",
        )),
    }
}

fn caller_key() -> Value {
    let key: String = rand::rng()
        .sample_iter(Alphanumeric)
        .take(KEY_CHARACTERS)
        .map(char::from)
        .collect();
    json!({"digest": key_digest(&key), "key": key})
}

fn peer_keys(
    authority: Option<Authority>,
    count: usize,
) -> Result<Value, Failure> {
    let failed = |e| Failure::message(FAILED, e);
    let authority = match authority {
        Some(authority) => authority,
        None => Authority::try_new().map_err(failed)?,
    };
    let mut instances = Vec::new();
    for _ in 0..count {
        let keys = authority.issue().map_err(failed)?;
        let (certificate, key) = (keys.certificate, keys.key);
        instances.push(json!({"certificate": certificate, "key": key}));
    }
    Ok(json!({
        "authority": authority.certificate(),
        "authority_key": authority.key(),
        "instances": instances,
    }))
}

fn peer_text(value: &Value) -> String {
    let mut out = format!(
        "# Keep this key apart; it signs further instances.\n{}\n",
        text_of(value, "authority_key")
    );
    let instances = value["instances"].as_array();
    for keys in instances.into_iter().flatten() {
        out.push_str(&format!(
            "[peers]\nauthority = '''\n{}'''\ncertificate = '''\n{}'''\n\
             key = '''\n{}'''\n\n",
            text_of(value, "authority"),
            text_of(keys, "certificate"),
            text_of(keys, "key"),
        ));
    }
    out
}
