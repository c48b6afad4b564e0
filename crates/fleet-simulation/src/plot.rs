//! Plots of an experiment, as SVG.

use crate::experiment::{Point, FIGURES};
use plotters::prelude::*;

/// Why a plot cannot be drawn.
#[derive(Debug, thiserror::Error)]
pub enum PlotError {
    /// There is no figure of this name.
    #[error("no such figure: {0}; there are: parts, {1}")]
    Figure(String, String),
    /// The drawing failed.
    #[error("plot: {0}")]
    Draw(String),
}

type Line = (String, Vec<(f64, f64)>);

/// Draws one figure over the number of fronts, with a line for each loss rate. The figure `parts` draws the sum of quota
/// shares in use over time instead, with a line for each point.
pub fn svg(points: &[Point], figure: &str, title: &str) -> Result<String, PlotError> {
    let names: Vec<&str> = FIGURES.iter().map(|(name, _)| *name).collect();
    let mut lines: Vec<Line> = Vec::new();
    let over_time = figure == "parts";
    if over_time {
        for point in points {
            let Some(run) = point.runs.first() else {
                continue;
            };
            lines.push((
                format!("{} fronts, loss {}", point.fronts, point.loss),
                run.line.clone(),
            ));
        }
    } else if names.contains(&figure) {
        let mut losses: Vec<f64> = points.iter().map(|point| point.loss).collect();
        losses.dedup();
        losses.sort_by(f64::total_cmp);
        losses.dedup();
        for loss in losses {
            let median = |point: &Point| {
                point
                    .spread
                    .iter()
                    .find(|(name, _)| *name == figure)
                    .map(|(_, spread)| spread.median)
            };
            let line = points.iter().filter(|point| point.loss == loss);
            let line = line.filter_map(|point| {
                Some((
                    f64::from(point.fronts),
                    median(point).filter(|v| v.is_finite())?,
                ))
            });
            lines.push((format!("loss {loss}"), line.collect()));
        }
    } else {
        return Err(PlotError::Figure(figure.into(), names.join(", ")));
    }
    let all = || lines.iter().flat_map(|(_, l)| l.iter().copied());
    let max_x = all().map(|point| point.0).fold(1.0, f64::max);
    let max_y = all().map(|point| point.1).fold(1e-9, f64::max) * 1.05;
    let mut text = String::new();
    {
        let failed = |e: &dyn std::fmt::Display| PlotError::Draw(e.to_string());
        let area = SVGBackend::with_string(&mut text, (860, 480)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| failed(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)
            .map_err(|e| failed(&e))?;
        chart
            .configure_mesh()
            .x_desc(if over_time { "seconds" } else { "fronts" })
            .y_desc(figure)
            .draw()
            .map_err(|e| failed(&e))?;
        for (i, (name, line)) in lines.into_iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let drawn = chart
                .draw_series(LineSeries::new(line, color.stroke_width(2)))
                .map_err(|e| failed(&e))?;
            drawn.label(name).legend(move |(x, y)| {
                PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2))
            });
        }
        let labels = chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw();
        labels.map_err(|e| failed(&e))?;
        area.present().map_err(|e| failed(&e))?;
    }
    Ok(text)
}
