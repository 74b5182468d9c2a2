//! Plots failures over time as SVG.

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, Palette, Palette99, Rectangle, SVGBackend, WHITE,
};
use snafu::Snafu;

use super::{CauseTally, FailureCause};

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Reason why a plot could not be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("the plot can't be drawn: {reason}"))]
pub struct PlotError {
    reason: String,
}

/// Draws the failed requests by cause over time as stacked bars; returns the SVG text.
pub fn draw_plot(tally: &CauseTally) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(tally, &mut svg).map_err(|error| PlotError {
        reason: error.to_string(),
    })?;
    Ok(svg)
}

fn draw(tally: &CauseTally, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let causes: Vec<FailureCause> = tally
        .counts
        .keys()
        .copied()
        .filter(|cause| *cause != FailureCause::Served)
        .collect();
    let last_bar = tally.bars.keys().max().copied().unwrap_or(0) + 1;
    let highest = tally.bars.values().map(|bar| bar.values().sum::<u64>()).max();
    let end = last_bar as f64 * CauseTally::bar_seconds();
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .caption("requests that were not served", ("sans-serif", 18))
        .build_cartesian_2d(0.0..end, 0..highest.unwrap_or(0) + 1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("seconds")
        .y_desc("requests")
        .draw()?;
    for (index, cause) in causes.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let bars = tally.bars.iter().filter_map(|(bar, counts)| {
            let count = counts.get(cause).copied()?;
            let below: u64 = counts.range(..*cause).map(|(_, count)| *count).sum();
            let left = *bar as f64 * CauseTally::bar_seconds();
            let corners = [
                (left, below),
                (left + CauseTally::bar_seconds() * 0.9, below + count),
            ];
            Some(Rectangle::new(corners, color.filled()))
        });
        chart
            .draw_series(bars)?
            .label(cause.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
