//! SVG plot of goodput over time.

use std::path::Path;

use plotters::prelude::*;

use super::RunReport;
use crate::{LoadError, Result};

/// Width and height of the plot.
const SIZE_PIXELS: (u32, u32) = (1_000, 480);

/// Upper end of the value axis, relative to the highest value.
const HEIGHT_FACTOR: f64 = 1.15;

/// Plots the windows of a report, with the faults as vertical lines.
///
/// # Errors
/// Returns [`LoadError::Plot`] when the plot cannot be drawn or written.
pub fn draw(path: &Path, report: &RunReport) -> Result<()> {
    draw_chart(path, report).map_err(|detail| LoadError::Plot { name: path.display().to_string(), detail })
}

fn error_text(error: &impl std::fmt::Display) -> String {
    error.to_string()
}

fn draw_chart(path: &Path, report: &RunReport) -> std::result::Result<(), String> {
    let windows = &report.series.windows;
    let line = |value: fn(&super::judge::Window) -> f64| -> Vec<(f64, f64)> {
        windows.iter().map(|window| (window.at_us as f64 / 1e6, value(window))).collect()
    };
    let lines = [
        ("good", BLUE, line(|window| window.good)),
        ("offered, at the latency before the first fault", GREEN, line(|window| window.expected)),
        ("bound of the remaining engines", RED, line(|window| window.bound)),
    ];
    let highest = lines.iter().flat_map(|(_, _, points)| points).map(|(_, value)| *value).fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE).map_err(|error| error_text(&error))?;
    let title = format!(
        "{} seed {} load {}: generations in a window of {:.1} s",
        report.scenario,
        report.seed,
        report.load,
        report.series.window_us as f64 / 1e6
    );
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..report.seconds, 0.0..highest * HEIGHT_FACTOR)
        .map_err(|error| error_text(&error))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("generations")
        .draw()
        .map_err(|error| error_text(&error))?;
    for (name, colour, points) in lines {
        chart
            .draw_series(LineSeries::new(points, &colour))
            .map_err(|error| error_text(&error))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    for fault in &report.faults {
        let at_s = fault.at_us as f64 / 1e6;
        chart
            .draw_series([PathElement::new([(at_s, 0.0), (at_s, highest * HEIGHT_FACTOR)], BLACK)])
            .map_err(|error| error_text(&error))?;
        let label = Text::new(fault.kind.name(), (at_s, highest * HEIGHT_FACTOR), ("sans-serif", 13));
        chart.draw_series([label]).map_err(|error| error_text(&error))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|error| error_text(&error))?;
    root.present().map_err(|error| error_text(&error))
}
