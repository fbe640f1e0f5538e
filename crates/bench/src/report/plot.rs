//! SVG plots.

use std::fmt::Display;

use plotters::prelude::*;

use super::ReportError;

/// Width and height in pixels.
const SIZE: (u32, u32) = (560, 320);
const WIDE_SIZE: (u32, u32) = (1_140, 360);
const FONT: (&str, u32) = ("sans-serif", 15);
const LABEL_PIXELS: u32 = 70;

/// A bar chart with one bar per policy.
pub(super) struct Bars {
    pub(super) title: String,
    pub(super) bars: Vec<(String, f64)>,
}

/// A line chart over time with one line per policy.
pub(super) struct Lines {
    pub(super) title: String,
    pub(super) lines: Vec<(String, Vec<(f64, f64)>)>,
}

fn failed<'a, E: Display>(title: &'a str) -> impl Fn(E) -> ReportError + 'a {
    move |error| ReportError::Plot { plot: title.to_owned(), message: error.to_string() }
}

/// The upper end of an axis that starts at zero.
fn top(values: impl Iterator<Item = f64>) -> f64 {
    let highest = values.fold(0.0, f64::max);
    if highest > 0.0 { highest * 1.1 } else { 1.0 }
}

impl Bars {
    /// Draws the bars.
    pub(super) fn svg(&self) -> Result<String, ReportError> {
        let mut text = String::new();
        self.draw(SVGBackend::with_string(&mut text, SIZE))?;
        Ok(text)
    }

    fn draw(&self, backend: SVGBackend<'_>) -> Result<(), ReportError> {
        let area = backend.into_drawing_area();
        area.fill(&WHITE).map_err(failed(&self.title))?;
        let count = self.bars.len();
        let highest = top(self.bars.iter().map(|(_, value)| *value));
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, FONT)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(LABEL_PIXELS)
            .build_cartesian_2d((0..count).into_segmented(), 0.0..highest)
            .map_err(failed(&self.title))?;
        let label = |segment: &SegmentValue<usize>| match segment {
            SegmentValue::CenterOf(position) => {
                self.bars.get(*position).map_or_else(String::new, |(name, _)| name.clone())
            }
            _ => String::new(),
        };
        let mut mesh = chart.configure_mesh();
        mesh.disable_x_mesh().x_labels(count).x_label_formatter(&label);
        mesh.draw().map_err(failed(&self.title))?;
        let bars = self.bars.iter().enumerate().map(|(position, (_, value))| {
            let corners = [(SegmentValue::Exact(position), 0.0), (SegmentValue::Exact(position + 1), *value)];
            let mut bar = Rectangle::new(corners, Palette99::pick(position).filled());
            bar.set_margin(0, 0, 12, 12);
            bar
        });
        chart.draw_series(bars).map_err(failed(&self.title))?;
        area.present().map_err(failed(&self.title))
    }
}

impl Lines {
    /// Draws the lines with a legend.
    pub(super) fn svg(&self) -> Result<String, ReportError> {
        let mut text = String::new();
        self.draw(SVGBackend::with_string(&mut text, WIDE_SIZE))?;
        Ok(text)
    }

    fn draw(&self, backend: SVGBackend<'_>) -> Result<(), ReportError> {
        let area = backend.into_drawing_area();
        area.fill(&WHITE).map_err(failed(&self.title))?;
        let points = || self.lines.iter().flat_map(|(_, line)| line.iter());
        let last = top(points().map(|(second, _)| *second));
        let highest = top(points().map(|(_, value)| *value));
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, FONT)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(LABEL_PIXELS)
            .build_cartesian_2d(0.0..last, 0.0..highest)
            .map_err(failed(&self.title))?;
        chart.configure_mesh().draw().map_err(failed(&self.title))?;
        for (position, (name, line)) in self.lines.iter().enumerate() {
            let colour = Palette99::pick(position).to_rgba();
            let series = LineSeries::new(line.iter().copied(), colour.stroke_width(2));
            let drawn = chart.draw_series(series).map_err(failed(&self.title))?;
            drawn
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        let mut labels = chart.configure_series_labels();
        labels.position(SeriesLabelPosition::UpperLeft).background_style(WHITE.mix(0.8)).border_style(BLACK);
        labels.draw().map_err(failed(&self.title))?;
        area.present().map_err(failed(&self.title))
    }
}
