//! Checks the results of a job against its input.

use std::collections::BTreeMap;

use cv_standin::expected_text;
use serde_json::Value;
use serde_json::json;

use super::PromiseCounts;

/// The input of a job of completions, with the answers that have to come.
#[derive(Clone, Debug)]
pub struct BatchAudit {
    expected: BTreeMap<String, String>,
    lines: String,
}

impl BatchAudit {
    /// Makes an input of so many items of so many tokens.
    #[must_use]
    pub fn completions(name: &str, model: &str, items: usize, tokens: usize) -> Self {
        let mut audit = Self { expected: BTreeMap::new(), lines: String::new() };
        for item in 0..items {
            let custom_id = format!("{name}-{item}");
            let prompt = format!("chapter {name} line {item} please");
            audit.expected.insert(custom_id.clone(), expected_text(&prompt, tokens));
            let body = json!({"max_tokens": tokens, "model": model, "prompt": prompt});
            audit.push(&custom_id, "/v1/completions", &body);
        }
        audit
    }

    /// Makes an input of so many calls to a plain service.
    #[must_use]
    pub fn calls(name: &str, service: &str, items: usize) -> Self {
        let mut audit = Self { expected: BTreeMap::new(), lines: String::new() };
        for item in 0..items {
            let custom_id = format!("{name}-{item}");
            audit.expected.insert(custom_id.clone(), String::new());
            let url = format!("/services/{service}/notes");
            audit.push(&custom_id, &url, &json!({"note": custom_id}));
        }
        audit
    }

    /// Returns the input's bytes.
    #[must_use]
    pub fn input(&self) -> Vec<u8> {
        self.lines.clone().into_bytes()
    }

    /// Counts what is missing, doubled or wrong among results that ought to be complete.
    #[must_use]
    pub fn check(&self, output: &[Value], errors: &[Value]) -> PromiseCounts {
        let mut promises = PromiseCounts::default();
        let mut seen: BTreeMap<&str, u32> = BTreeMap::new();
        for line in output.iter().chain(errors) {
            let custom_id = line["custom_id"].as_str().unwrap_or_default();
            *seen.entry(custom_id).or_insert(0) += 1;
        }
        for custom_id in self.expected.keys() {
            match seen.get(custom_id.as_str()).copied().unwrap_or(0) {
                0 => promises.lost += 1,
                1 => {}
                more => promises.duplicated += u64::from(more - 1),
            }
        }
        for line in output {
            self.check_answer(line, &mut promises);
        }
        promises
    }

    /// Checks one answer's text.
    fn check_answer(&self, line: &Value, promises: &mut PromiseCounts) {
        let custom_id = line["custom_id"].as_str().unwrap_or_default();
        let Some(expected) = self.expected.get(custom_id) else {
            promises.crossed += 1;
            return;
        };
        let text = line["response"]["body"]["choices"][0]["text"].as_str().unwrap_or_default();
        if text == expected {
            return;
        }
        if expected.starts_with(text) {
            promises.truncated += 1;
        } else {
            promises.crossed += 1;
        }
    }

    /// Adds a line.
    fn push(&mut self, custom_id: &str, url: &str, body: &Value) {
        let line = json!({"body": body, "custom_id": custom_id, "method": "POST", "url": url});
        self.lines.push_str(&line.to_string());
        self.lines.push('\n');
    }
}
