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
use super::streams::{Doubt, StreamId};
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
    let (version, source) = match find_version(shared, job).await {
        Ok(found) => found,
        Err(why) => {
            why.report(shared, job);
            let unknown = Refusal::new(Code::StreamUnknown);
            return Err(unknown.retry_after(UNKNOWN_RETRY_AFTER));
        }
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

/// Why the version that began a stream is not known: there is no record of it, and
#[derive(Clone, Debug)]
enum Unknown {
    /// this gateway trusts no version;
    Doubtful(Doubt),
    /// no other gateway has answered that it trusts one;
    NoAnswer,
    /// what this gateway knows of the endpoints may be out of date.
    NotCurrent,
}

impl Unknown {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Doubtful(doubt) => doubt.as_str(),
            Self::NoAnswer => "no_answer",
            Self::NotCurrent => "not_current",
        }
    }

    /// Counts and logs it.
    fn report(&self, shared: &Shared, job: &Job) {
        shared.metrics.count_unknown_stream(self.as_str());
        let mut fields = vec![("why", self.as_str().into())];
        match self {
            Self::Doubtful(Doubt::OtherVersion { version, seen_ago }) => {
                fields.extend([
                    ("other", version.into()),
                    ("seen_ago_ms", (*seen_ago).into()),
                ]);
            }
            Self::Doubtful(Doubt::Incomplete { remaining }) => {
                fields.push(("remaining_ms", (*remaining).into()));
            }
            Self::Doubtful(Doubt::NoVersion) | Self::NoAnswer | Self::NotCurrent => {}
        }
        job.log("request.version_unknown", &fields);
    }
}

/// Returns the version that began the stream, and where that was found.
async fn find_version(
    shared: &Shared,
    job: &Job,
) -> Result<(CompactString, &'static str), Unknown> {
    let asked_at = shared.now();
    let id = job.metadata.resumes.as_deref().map(StreamId::of_attempt);
    if let Some(version) = id.and_then(|id| shared.streams.version_of(id)) {
        return Ok((version, "record"));
    }
    // This gateway may not have heard of other versions: it asks even if it knows of one only.
    let mut is_confirmed = true;
    if let Some(id) = id
        && shared.gateway_count() > 1
    {
        match look_up(shared, id).await {
            Found::Version(version) => return Ok((version, "asked")),
            Found::Nothing => {}
            Found::NoAnswer => is_confirmed = false,
        }
    }
    let is_current = is_confirmed && wait_until_current(shared, asked_at).await;
    let versions = shared.view().versions.clone();
    // Gateways that have the same doubt do not answer: it is the reason that counts.
    let only = versions.trusted(shared.now(), &job.service);
    match only.map_err(Unknown::Doubtful)? {
        _ if !is_confirmed => Err(Unknown::NoAnswer),
        _ if !is_current => Err(Unknown::NotCurrent),
        only => Ok((only.clone(), "only")),
    }
}

/// Tells control how long the caller of a stream that has begun goes on trying, if streams are
/// not known to last that long.
pub fn state_budget(shared: &Shared, job: &Job) {
    let budget = job.metadata.timeout.unwrap_or_default();
    if !shared.view().versions.covers(budget) {
        shared.send_event(Event::StreamBudgetStated(budget));
    }
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
