//! The `cvctl explain` command.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cv_timeline::MergedTimeline;
use cv_timeline::render_html;
use cv_timeline::render_text;

/// Shows the events of a request, job or item, with the state changes around them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// ID of the request, job or item
    #[argh(positional)]
    id: String,
    /// log files of the processes
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// write an HTML page with one lane per process to this file
    #[argh(option)]
    html: Option<PathBuf>,
}

impl ExplainCommand {
    /// Prints the events, or writes them as an HTML page.
    pub fn run(&self) -> Result<ExitCode, String> {
        let mut texts = Vec::new();
        for path in &self.files {
            let text = std::fs::read_to_string(path);
            texts.push(text.map_err(|error| format!("{}: {error}", path.display()))?);
        }
        let timeline = MergedTimeline::from_texts(texts.iter().map(String::as_str));
        let timeline = timeline.explain(&self.id);
        if timeline.events().is_empty() {
            return Err(format!(
                "no event in the {} file(s) mentions {}",
                self.files.len(),
                self.id
            ));
        }
        match &self.html {
            Some(path) => std::fs::write(path, render_html(&timeline))
                .map_err(|error| format!("{}: {error}", path.display()))?,
            None => print!("{}", render_text(&timeline)),
        }
        Ok(ExitCode::SUCCESS)
    }
}
