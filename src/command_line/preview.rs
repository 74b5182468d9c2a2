//! `where`: asks a running gateway where a request would go now, without sending it.

use std::io::Read;

use http_types::{Method, Request, Url};

use super::ExitStatus;
use super::arguments::WhereArguments;
use crate::clock;
use crate::gateway::{PREVIEW_PATH, PreviewReport};
use crate::platform::API_KEY_HEADER;
use crate::traffic::upstream;

/// Timeout for the answer of the gateway, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 5_000;

/// The longest answer that is read, in bytes: some hundred bytes for each replica of a service.
const MAX_ANSWER_BYTES: usize = 4_000_000;

/// The longest API key that is read, in bytes.
const MAX_KEY_BYTES: u64 = 4_096;

/// The name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Asks the gateway at the address and prints its answer.
pub fn preview(arguments: &WhereArguments) -> ExitStatus {
    let head = match write_head(arguments) {
        Ok(head) => head,
        Err(reason) => {
            eprintln!("{reason}");
            return ExitStatus::Usage;
        }
    };
    let Some(report) = ask(&arguments.address, head) else {
        eprintln!("no gateway answers at {}", arguments.address);
        return ExitStatus::Unreachable;
    };
    match (arguments.json, serde_json::to_string_pretty(&report)) {
        (true, Ok(text)) => println!("{text}"),
        _ => println!("{}", report.to_text()),
    }
    match report.refusal {
        Some(_) => ExitStatus::Refused,
        None => ExitStatus::Done,
    }
}

/// The head of the request that is asked about. The key comes from a file or from standard input, since other
/// users of the machine can read command lines.
fn write_head(arguments: &WhereArguments) -> Result<String, String> {
    let mut lines = vec![
        format!("{} {} HTTP/1.1", arguments.method, arguments.path),
        format!("Host: {}", arguments.host),
    ];
    for line in &arguments.header {
        let (name, _) = line
            .split_once(':')
            .ok_or_else(|| format!("`{line}` has no colon after a header's name"))?;
        if name.trim().eq_ignore_ascii_case(API_KEY_HEADER) {
            return Err(format!(
                "{API_KEY_HEADER} can't be given on the command line; use --key-file"
            ));
        }
        lines.push(line.clone());
    }
    if let Some(bytes) = arguments.body_bytes {
        lines.push(format!("Content-Length: {bytes}"));
    }
    if let Some(file) = &arguments.key_file {
        let key = read_key(file).map_err(|error| format!("can't read the key: {error}"))?;
        lines.push(format!("{API_KEY_HEADER}: {}", key.trim()));
    }
    if lines.iter().any(|line| line.contains(['\r', '\n'])) {
        return Err("a value is longer than one line".to_owned());
    }
    Ok(format!("{}\r\n\r\n", lines.join("\r\n")))
}

fn read_key(file: &str) -> std::io::Result<String> {
    let mut key = String::new();
    match file {
        STANDARD_INPUT => std::io::stdin().take(MAX_KEY_BYTES).read_to_string(&mut key)?,
        file => std::fs::File::open(file)?
            .take(MAX_KEY_BYTES)
            .read_to_string(&mut key)?,
    };
    Ok(key)
}

/// Sends the question; `None` if there is no answer that can be read.
fn ask(address: &str, head: String) -> Option<PreviewReport> {
    let url = Url::parse(&format!("http://{address}{PREVIEW_PATH}")).ok()?;
    async_std::task::block_on(async {
        let mut request = Request::new(Method::Post, url);
        request.set_body(head);
        let deadline = clock::now().after_ms(ANSWER_TIMEOUT_MS);
        let mut response = upstream::exchange(address, request, deadline).await.ok()?;
        let body = upstream::read_body(&mut response, MAX_ANSWER_BYTES).await?;
        serde_json::from_slice(&body).ok()
    })
}
