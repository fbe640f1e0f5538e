//! SVG plots of the slopes.

use std::path::Path;

use plotters::{
    chart::ChartBuilder,
    prelude::{Circle, IntoDrawingArea, LineSeries, SVGBackend},
    style::{BLACK, BLUE, Color, RED, WHITE},
};

use super::Slope;

/// Width and height in pixels.
const SIZE: (u32, u32) = (420, 260);

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw {file}: {message}")]
pub struct PlotError {
    file: String,
    /// The cause.
    message: String,
}

/// Draws each slope into `directory`: measured points, the fitted line, the value at the target.
///
/// # Errors
///
/// The first file that could not be written.
pub fn draw_all(slopes: &[Slope], directory: &Path) -> Result<(), PlotError> {
    for slope in slopes {
        let file = directory.join(file_name(slope));
        draw(slope, &file).map_err(|message| PlotError { file: file.display().to_string(), message })?;
    }
    Ok(())
}

/// The file name of a slope's plot.
pub fn file_name(slope: &Slope) -> String {
    let name = format!("{} {} {}", slope.role, slope.quantity, slope.over).to_lowercase();
    let name = name.replace('%', "percent");
    let words: Vec<&str> = name
        .split(|character: char| !character.is_ascii_alphanumeric())
        .filter(|word| !word.is_empty())
        .collect();
    format!("{}.svg", words.join("-"))
}

fn draw(slope: &Slope, file: &Path) -> Result<(), String> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| error.to_string())?;
    let largest = slope.points.iter().map(|point| point.0).fold(slope.target_size, f64::max);
    let highest = slope.points.iter().map(|point| point.1).fold(slope.at_target, f64::max);
    let title = format!("{}: {}", slope.role, slope.quantity);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 13))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..largest * 1.05, 0.0..(highest * 1.1).max(f64::MIN_POSITIVE))
        .map_err(|error| error.to_string())?;
    let mesh = chart.configure_mesh().x_desc(slope.over).disable_mesh().draw();
    mesh.map_err(|error| error.to_string())?;
    let line = [0.0, largest].map(|size| (size, slope.fit.at(size)));
    chart.draw_series(LineSeries::new(line, &BLUE)).map_err(|error| error.to_string())?;
    let points = slope.points.iter().map(|point| Circle::new(*point, 3, BLACK.filled()));
    chart.draw_series(points).map_err(|error| error.to_string())?;
    let target = Circle::new((slope.target_size, slope.at_target), 4, RED.stroke_width(2));
    chart.draw_series(std::iter::once(target)).map_err(|error| error.to_string())?;
    root.present().map_err(|error| error.to_string())
}
