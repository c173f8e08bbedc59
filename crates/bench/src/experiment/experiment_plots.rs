//! Renders an experiment's report as a self-contained HTML page.

use std::fmt::Write;

use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

use super::ExperimentReport;

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 420);

/// Margin around a plot, in pixels.
const MARGIN: u32 = 12;

/// Space for the labels of an axis, in pixels.
const LABEL_AREA: u32 = 48;

/// Renders a report as HTML: a plot of the latency distributions, the targets and all figures.
///
/// # Errors
/// Fails if the plot cannot be drawn.
pub fn render_report(report: &ExperimentReport) -> Result<String, String> {
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title>\
         <style>body{{font:14px sans-serif}}td{{padding:2px 12px}}</style>\
         <h1>{0}</h1><p>seed {1}, {2} s a phase</p>",
        report.name, report.seed, report.seconds
    );
    if !report.curves.is_empty() {
        page.push_str(&draw_curves(report)?);
        page.push_str(&legend(report));
    }
    page.push_str("<h2>Targets</h2><table>");
    for target in &report.targets {
        let word = if target.met { "met" } else { "missed" };
        let _ = write!(page, "<tr><td>{}<td>{word}<td>{}", target.figure, target.bound);
    }
    page.push_str("</table><h2>Figures</h2><table>");
    for (name, value) in &report.figures {
        let _ = write!(page, "<tr><td>{name}<td>{value}");
    }
    page.push_str("</table>");
    Ok(page)
}

/// Draws the latency distributions as SVG, with percentiles on the x axis.
fn draw_curves(report: &ExperimentReport) -> Result<String, String> {
    let values = report.curves.iter().flat_map(|curve| curve.values.iter().copied());
    let highest = values.fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|error| error.to_string())?;
        let mut chart = ChartBuilder::on(&area)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(1.0..100.0, 0.0..highest)
            .map_err(|error| error.to_string())?;
        chart
            .configure_mesh()
            .x_desc("percentile")
            .y_desc("time to the first response, ms")
            .draw()
            .map_err(|error| error.to_string())?;
        for (index, curve) in report.curves.iter().enumerate() {
            let points = curve.values.iter().enumerate();
            let points = points.map(|(percent, value)| ((percent + 1) as f64, *value));
            chart
                .draw_series(LineSeries::new(points, &Palette99::pick(index)))
                .map_err(|error| error.to_string())?;
        }
        area.present().map_err(|error| error.to_string())?;
    }
    Ok(svg)
}

/// Lists the names of the curves in their colours.
fn legend(report: &ExperimentReport) -> String {
    let mut text = String::from("<p>");
    for (index, curve) in report.curves.iter().enumerate() {
        let (red, green, blue) = Palette99::COLORS[index % Palette99::COLORS.len()];
        let _ = write!(
            text,
            "<span style=\"color:rgb({red},{green},{blue})\">■ {}</span> ",
            curve.name
        );
    }
    text
}
