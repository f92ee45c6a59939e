//! A request that the endpoint received.

/// A request as it was received.
pub(super) struct Request {
    pub head: String,
    pub body: Vec<u8>,
}

impl Request {
    /// The first field of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1);
        let mut fields = lines.filter_map(|line| line.split_once(':'));
        let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// The parts of the prompt, which a header lists as `ID:TOKENS` pairs.
    pub fn parts(&self, header: &str) -> Vec<u64> {
        let listed = self.header(header).unwrap_or_default().split(',');
        let ids = listed.filter_map(|pair| pair.trim().split_once(':'));
        ids.filter_map(|(id, _)| u64::from_str_radix(id, 16).ok())
            .collect()
    }

    /// The event after which a stream goes on; 0 at its beginning.
    pub fn last_event(&self) -> u64 {
        let event = self.header("last-event-id").and_then(|id| id.parse().ok());
        event.unwrap_or(0)
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        let target = self.head.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }
}
