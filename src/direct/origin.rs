//! Finds where a stream goes on that its caller takes up again.

use compact_str::CompactString;
use tokio::time::{sleep, timeout};

use super::control::Event;
use super::document::RouteKind;
use super::job::Job;
use super::membership::currency::HEARD_VALIDITY;
use super::refusal::Refusal;
use super::resume::ResumePoint;
use super::shared::Shared;
use super::streams::StreamId;
use crate::clock::Millis;
use crate::code::Code;

/// How long other gateways are asked which version began a stream: many round trips
/// between zones.
const LOOKUP_TIMEOUT: Millis = Millis(250);
/// Interval between questions: the record of a stream that has just begun may still be
/// on its way to the gateways that keep it.
const ASK_INTERVAL: Millis = Millis(60);
/// Interval at which a request looks whether what is known of the endpoints is current.
const CURRENCY_POLL_INTERVAL: Millis = Millis(20);
/// `Retry-After` if the version is not known. A record may still be on its way.
const UNKNOWN_RETRY_AFTER: Millis = Millis(300);
/// `Retry-After` if no endpoint has the version: about the time in which a crashed
/// endpoint is replaced.
const VERSION_GONE_RETRY_AFTER: Millis = Millis(1_000);

/// Returns where a request's stream begins or goes on. A stream that goes on is refused
/// if its software version is not known, or if no endpoint has it.
pub async fn find_resume_point(shared: &Shared, job: &Job) -> Result<ResumePoint, Refusal> {
    let metadata = &job.metadata;
    let begin = ResumePoint {
        last_event_id: metadata.last_event_id.clone(),
        version: None,
    };
    let is_resumable = job.kind == RouteKind::Stream { is_resumable: true };
    if !is_resumable || !job.is_continuation() {
        return Ok(begin);
    }
    let Some((version, source)) = find_version(shared, job).await else {
        let unknown = Refusal::new(Code::StreamUnknown);
        return Err(unknown.retry_after(UNKNOWN_RETRY_AFTER));
    };
    job.log(
        "request.version_found",
        &[("software", (&version).into()), ("source", source.into())],
    );
    if !shared.view().has_version(&job.service, &version) {
        let gone = Refusal::new(Code::StreamVersionGone);
        return Err(gone.retry_after(VERSION_GONE_RETRY_AFTER));
    }
    Ok(ResumePoint {
        version: Some(version),
        ..begin
    })
}

/// Returns the version that began the stream, and where that was found.
async fn find_version(shared: &Shared, job: &Job) -> Option<(CompactString, &'static str)> {
    let asked_at = shared.now();
    let id = job.metadata.resumes.as_deref().map(StreamId::of_attempt);
    if let Some(version) = id.and_then(|id| shared.streams.version_of(id)) {
        return Some((version, "record"));
    }
    // This gateway may not have heard of other versions: it asks even if it knows of one only.
    let is_unknown_elsewhere = match id {
        Some(id) if shared.gateway_count() > 1 => match look_up(shared, id).await {
            Found::Version(version) => return Some((version, "asked")),
            Found::Nothing => true,
            Found::NoAnswer => false,
        },
        _ => true,
    };
    let is_current = is_unknown_elsewhere && wait_until_current(shared, asked_at).await;
    let versions = shared.view().versions.clone();
    let may_trust = is_current && versions.is_complete(shared.now());
    let only = versions.only_version(&job.service).filter(|_| may_trust)?;
    Some((only.clone(), "only"))
}

/// Waits until what is known of the endpoints is current. Right after the start, the store
/// has yet to answer. Other gateways count only if they were heard since the request came: some
/// that are cut off together may still count each other as most of all.
async fn wait_until_current(shared: &Shared, asked_at: Millis) -> bool {
    let until = shared.now() + LOOKUP_TIMEOUT;
    let is_current = || shared.is_current_at(asked_at + HEARD_VALIDITY);
    while !is_current() && shared.now() < until {
        sleep(CURRENCY_POLL_INTERVAL.as_duration()).await;
    }
    is_current()
}

/// What the other gateways know of a stream.
enum Found {
    /// The version that began it.
    Version(CompactString),
    /// Nothing, and they know of one version only.
    Nothing,
    /// Nobody has answered.
    NoAnswer,
}

/// Asks the gateways that keep the stream's record, and through them the store.
async fn look_up(shared: &Shared, id: StreamId) -> Found {
    let mut changed = shared.streams.subscribe();
    let began = shared.now();
    for turn in 0.. {
        shared.send_event(Event::StreamSought { id, turn });
        let asked_at = shared.now();
        while shared.now().since(asked_at) < ASK_INTERVAL {
            if let Some(version) = shared.streams.version_of(id) {
                return Found::Version(version);
            }
            let left = (asked_at + ASK_INTERVAL).since(shared.now());
            // Records of other streams wake this task as well.
            let _ = timeout(left.as_duration(), changed.changed()).await;
        }
        // Another one that was asked may have known it, and had the time to answer.
        if shared.streams.is_unknown_since(began, id) {
            return Found::Nothing;
        }
        if shared.now().since(began) >= LOOKUP_TIMEOUT {
            break;
        }
    }
    Found::NoAnswer
}
