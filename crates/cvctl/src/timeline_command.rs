//! The `cvctl timeline` command.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cv_timeline::MergedTimeline;
use cv_timeline::render_html;
use cv_timeline::render_text;

/// Merges the event files of several processes into one causally ordered time line.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineCommand {
    /// event files of the processes
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// write an HTML page with one lane per process to this file
    #[argh(option)]
    html: Option<PathBuf>,
    /// show only the events of this job
    #[argh(option)]
    job: Option<String>,
    /// show only the events of this request
    #[argh(option)]
    request: Option<String>,
}

impl TimelineCommand {
    /// Prints the time line, or writes it as an HTML page.
    pub fn run(&self) -> Result<ExitCode, String> {
        let mut texts = Vec::new();
        for path in &self.files {
            let text = std::fs::read_to_string(path);
            texts.push(text.map_err(|error| format!("{}: {error}", path.display()))?);
        }
        let mut timeline = MergedTimeline::from_texts(texts.iter().map(String::as_str));
        if let Some(subject) = self.request.as_ref().or(self.job.as_ref()) {
            timeline = timeline.for_subject(subject);
        }
        match &self.html {
            Some(path) => std::fs::write(path, render_html(&timeline))
                .map_err(|error| format!("{}: {error}", path.display()))?,
            None => print!("{}", render_text(&timeline)),
        }
        if timeline.invalid_lines() > 0 {
            eprintln!("skipped {} line(s) that are not valid events", timeline.invalid_lines());
        }
        Ok(ExitCode::SUCCESS)
    }
}
