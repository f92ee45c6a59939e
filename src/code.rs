//! Numbered result codes, as shown to callers and operators and in logs.

use http::StatusCode;
use serde::{Deserialize, Serialize};

/// Whether the endpoint ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It certainly did not run, so a retry is safe.
    No,
    /// It may have run; its outcome can be queried by the request's identifier.
    Unknown,
    /// It ran.
    Yes,
}

impl Ran {
    /// The text form used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:ident, $error_type:literal, $message:literal;)*) => {
        /// A numbered result code. 1xxx: the request; 2xxx: keys and limits;
        /// 3xxx: capacity; 4xxx: outcome; 5xxx: invariants and settings.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[non_exhaustive]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes in ascending order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The number shown to callers and in logs.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The HTTP status sent with this code.
            pub fn status(self) -> StatusCode {
                match self { $(Self::$name => StatusCode::$status,)* }
            }

            /// The `type` field of the error object, which has OpenAI's format.
            pub fn error_type(self) -> &'static str {
                match self { $(Self::$name => $error_type,)* }
            }

            /// A message of one line.
            pub fn message(self) -> &'static str {
                match self { $(Self::$name => $message,)* }
            }
        }
    };
}

codes! {
    /// The body is not valid JSON or lacks a required field.
    BadBody = 1001, BAD_REQUEST, "invalid_request_error", "the body is not a valid request";
    /// The body is larger than the limit.
    BodyTooLarge = 1002, PAYLOAD_TOO_LARGE, "invalid_request_error", "the body is larger than the limit";
    /// The body did not arrive in time.
    BodyTimeout = 1003, REQUEST_TIMEOUT, "invalid_request_error", "the body did not arrive in time";
    /// No route matches the path.
    NoRoute = 1004, NOT_FOUND, "invalid_request_error", "no route has this path";
    /// No model has this name.
    UnknownModel = 1005, NOT_FOUND, "invalid_request_error", "no model has this name";
    /// No class has this name.
    UnknownClass = 1006, BAD_REQUEST, "invalid_request_error", "no class has this name";
    /// The route does not take this method.
    BadMethod = 1007, METHOD_NOT_ALLOWED, "invalid_request_error", "the route does not take this method";
    /// The idempotency key is empty, too long or not printable.
    BadIdempotencyKey = 1008, BAD_REQUEST, "invalid_request_error", "the idempotency key must be 1 to 255 printable characters";
    /// The idempotency key was used before with a different request.
    IdempotencyKeyReused = 1009, UNPROCESSABLE_ENTITY, "invalid_request_error", "the idempotency key was used with a different request";
    /// The request has no identifier.
    NoRequestId = 1010, BAD_REQUEST, "invalid_request_error", "the request has no identifier";
    /// The prompt has a part that ends the endpoints that answer it.
    PartBlocked = 1011, BAD_REQUEST, "invalid_request_error", "a part of the prompt ends the endpoints that answer it";
    /// The API key is missing, unknown or withdrawn.
    BadKey = 2001, UNAUTHORIZED, "authentication_error", "the key is missing, unknown or withdrawn";
    /// The API key was withdrawn while the response was being sent.
    KeyWithdrawn = 2002, UNAUTHORIZED, "authentication_error", "the key was withdrawn during the request";
    /// The workspace's rate and burst are used up.
    RateExceeded = 2003, TOO_MANY_REQUESTS, "rate_limit_error", "the workspace's rate is used up";
    /// The request alone needs more tokens than the workspace's burst.
    LargerThanBurst = 2004, BAD_REQUEST, "rate_limit_error", "the request is larger than the workspace's burst";
    /// The gateway cannot confirm that its configuration is current.
    ConfigurationStale = 2005, SERVICE_UNAVAILABLE, "service_unavailable", "the configuration cannot be confirmed as current";
    /// The workspace may not use this route.
    RouteDenied = 2006, FORBIDDEN, "authentication_error", "the workspace may not use this route";
    /// Every endpoint that could serve the request is full.
    Busy = 3001, SERVICE_UNAVAILABLE, "overloaded_error", "every suitable endpoint is full";
    /// No endpoint for the model or service is reachable now.
    NoEndpoint = 3002, SERVICE_UNAVAILABLE, "service_unavailable", "no endpoint is reachable for this request";
    /// The process is shutting down and accepts no new requests.
    Draining = 3003, SERVICE_UNAVAILABLE, "service_unavailable", "the process is shutting down";
    /// The class's latency target can no longer be met.
    TargetMissed = 3004, SERVICE_UNAVAILABLE, "overloaded_error", "the class's target cannot be met now";
    /// The platform's service is down, so the claim cannot be recorded.
    ClaimUnavailable = 3005, SERVICE_UNAVAILABLE, "service_unavailable", "the request's claim cannot be recorded now";
    /// No endpoint has the software version that began the stream.
    StreamVersionGone = 3006, SERVICE_UNAVAILABLE, "service_unavailable", "no endpoint has the software version that began the stream";
    /// The software version that began the stream is not known.
    StreamUnknown = 3007, SERVICE_UNAVAILABLE, "service_unavailable", "the software version that began the stream is not known";
    /// The gateway has no memory for the request while others arrive.
    NoMemory = 3008, SERVICE_UNAVAILABLE, "overloaded_error", "the gateway has no memory for the request now";
    /// The connection to the endpoint failed after the request may have reached it.
    OutcomeUnknown = 4001, BAD_GATEWAY, "outcome_unknown", "the request may have run; ask for its outcome by its identifier";
    /// The response was truncated.
    AnswerCut = 4002, BAD_GATEWAY, "answer_cut", "the answer was cut short";
    /// A request with this idempotency key has not finished.
    InProgress = 4003, CONFLICT, "outcome_unknown", "a request with this idempotency key has not finished";
    /// No outcome is known under this identifier.
    NoOutcome = 4004, NOT_FOUND, "invalid_request_error", "no outcome is known under this identifier";
    /// The endpoint's response belongs to a different request.
    CrossedAnswer = 4005, BAD_GATEWAY, "answer_cut", "the endpoint answered a different request";
    /// The route's timeout passed before the response was complete.
    TimedOut = 4006, GATEWAY_TIMEOUT, "timeout", "the request may have run; its time is over";
    /// The endpoint's response does not go on with the stream.
    NoContinuation = 4007, BAD_GATEWAY, "answer_cut", "the endpoint's answer does not go on with the stream";
    /// An invariant of the program does not hold.
    InvariantBroken = 5001, INTERNAL_SERVER_ERROR, "internal_error", "an invariant of the program does not hold";
    /// The settings or the configuration are not valid.
    BadSettings = 5002, BAD_REQUEST, "invalid_request_error", "the settings are not valid";
    /// The configuration changed since the expected revision.
    Conflict = 5003, CONFLICT, "conflict", "the configuration changed since the expected revision";
    /// An order carries an old fencing number.
    OldFence = 5004, CONFLICT, "conflict", "the order carries an old fencing number";
    /// The endpoint's memory has no room for the model.
    NoRoom = 5005, INSUFFICIENT_STORAGE, "overloaded_error", "the endpoint's memory has no room";
    /// The platform's service does not answer.
    PlatformDown = 5006, SERVICE_UNAVAILABLE, "service_unavailable", "the platform's service does not answer";
}
