//! Checks the results of a batch job against its input.

use std::collections::BTreeMap;

use cv_standin::expected_text;
use serde_json::Value;
use serde_json::json;

use super::GuaranteeCounts;

/// The input of a batch job, with the expected response text of each item.
#[derive(Clone, Debug)]
pub struct BatchAudit {
    expected: BTreeMap<String, String>,
    lines: String,
}

impl BatchAudit {
    /// Creates an input of `items` completions with `tokens` response tokens each.
    #[must_use]
    pub fn completions(name: &str, model: &str, items: usize, tokens: usize) -> Self {
        let mut audit = Self { expected: BTreeMap::new(), lines: String::new() };
        for item in 0..items {
            let custom_id = format!("{name}-{item}");
            let prompt = format!("chapter {name} line {item} please");
            audit.expected.insert(custom_id.clone(), expected_text(&prompt, tokens));
            let body = json!({"max_tokens": tokens, "model": model, "prompt": prompt});
            audit.add_item(&custom_id, "/v1/completions", &body);
        }
        audit
    }

    /// Creates an input of `items` calls to a plain service.
    #[must_use]
    pub fn calls(name: &str, service: &str, items: usize) -> Self {
        let mut audit = Self { expected: BTreeMap::new(), lines: String::new() };
        for item in 0..items {
            let custom_id = format!("{name}-{item}");
            audit.expected.insert(custom_id.clone(), String::new());
            let url = format!("/services/{service}/notes");
            audit.add_item(&custom_id, &url, &json!({"note": custom_id}));
        }
        audit
    }

    /// Returns the input file, in JSON lines.
    #[must_use]
    pub fn input(&self) -> Vec<u8> {
        self.lines.clone().into_bytes()
    }

    /// Counts missing, duplicate and wrong results of a completed job.
    #[must_use]
    pub fn check(&self, output: &[Value], errors: &[Value]) -> GuaranteeCounts {
        let mut counts = GuaranteeCounts::default();
        let mut seen: BTreeMap<&str, u32> = BTreeMap::new();
        for line in output.iter().chain(errors) {
            let custom_id = line["custom_id"].as_str().unwrap_or_default();
            *seen.entry(custom_id).or_insert(0) += 1;
        }
        for custom_id in self.expected.keys() {
            match seen.get(custom_id.as_str()).copied().unwrap_or(0) {
                0 => counts.lost += 1,
                1 => {}
                results => counts.duplicated += u64::from(results - 1),
            }
        }
        for line in output {
            self.check_response(line, &mut counts);
        }
        counts
    }

    /// Compares the response text of one item with the expected one.
    fn check_response(&self, line: &Value, counts: &mut GuaranteeCounts) {
        let custom_id = line["custom_id"].as_str().unwrap_or_default();
        let Some(expected) = self.expected.get(custom_id) else {
            counts.crossed += 1;
            return;
        };
        let text = line["response"]["body"]["choices"][0]["text"].as_str().unwrap_or_default();
        if text == expected {
            return;
        }
        if expected.starts_with(text) {
            counts.truncated += 1;
        } else {
            counts.crossed += 1;
        }
    }

    /// Appends an item to the input.
    fn add_item(&mut self, custom_id: &str, url: &str, body: &Value) {
        let line = json!({"body": body, "custom_id": custom_id, "method": "POST", "url": url});
        self.lines.push_str(&line.to_string());
        self.lines.push('\n');
    }
}
